"""The log of a dispatcher (router process): one line of text for each event, on standard error."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable

MAX_LINE_CHARS = 400


def write(event: str, **fields: object) -> None:
    """Write one line: the event, then its fields as `name=value`."""
    text = " ".join([event, *(f"{name}={value}" for name, value in fields.items())])
    with contextlib.suppress(OSError, ValueError):  # a log that cannot be written must not end its caller
        sys.stderr.write(" ".join(text.split())[:MAX_LINE_CHARS] + "\n")


def timer_failed(error: Exception) -> None:
    """Log an error of a timer's callback; the others run all the same."""
    write("a timer failed", fault=f"{type(error).__name__}: {error}")


def run_guarded(callback: Callable[[], None]) -> None:
    """Run a timer callback: an error in it is logged and does not end the event loop."""
    try:
        callback()
    except Exception as fault:
        timer_failed(fault)
