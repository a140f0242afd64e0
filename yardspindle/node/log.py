"""The dispatcher's log: a line of text for each thing worth reading, on standard error."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable

MAX_LINE_CHARS = 400


def write(what: str, **fields: object) -> None:
    """Write one line."""
    text = " ".join([what, *(f"{name}={value}" for name, value in fields.items())])
    with contextlib.suppress(OSError, ValueError):  # a log that cannot be written must not end what it tells of
        sys.stderr.write(" ".join(text.split())[:MAX_LINE_CHARS] + "\n")


def run_guarded(step: Callable[[], None]) -> None:
    """Run a step that the loop itself calls: an error is told, and must not end the loop."""
    try:
        step()
    except Exception as fault:
        write("a timer failed", fault=f"{type(fault).__name__}: {fault}")
