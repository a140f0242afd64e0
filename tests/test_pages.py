"""The pages and the module's limits hold."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code is not None
    exec(compile(code.group(1), "README.md", "exec"), {})


def test_module_keeps_its_limits() -> None:
    lines = (ROOT / "yardspindle/policy.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 400
    assert max(len(line) for line in lines) <= 110
    assert "yardspindle/interface.py" in lines[0]
