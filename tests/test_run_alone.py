"""`run` imports none of the modules that several processes share."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
SHARED_MODULES = (
    "yardspindle.fleet",
    "yardspindle.steward",
    "yardspindle.unit",
    "yardspindle.record",
    "yardspindle.core.fleet",
    "yardspindle.runtime.database",
    "yardspindle.lab",
    "yardspindle.edge",
    "yardspindle.planner",
    "sqlite3",
)


def test_run_imports_nothing_that_processes_share() -> None:
    code = (
        "import sys, yardspindle.node.__main__, yardspindle.node.app, yardspindle.drill; "
        f"print([m for m in sys.modules if any(m == s or m.startswith(s + '.') for s in {SHARED_MODULES!r})])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert result.stdout.strip() == "[]"
