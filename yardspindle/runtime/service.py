"""Runs the tasks that a program needs for as long as it lives, such as accepting connections or following a list.

An error in one of them, for example for lack of memory, must not leave a program that runs without it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardspindle.runtime.scheduler import Scheduler

MIN_RESTART_PAUSE_US = 20_000  # before a failed service runs again; doubled while it fails soon after its restart
MAX_RESTART_PAUSE_US = 1_000_000


def run_service(scheduler: Scheduler, function: Callable[..., Any], args: tuple[Any, ...]) -> None:
    """Run a function until it returns or is cancelled; an error is passed to the crash hook, then it runs again."""
    pause_us = MIN_RESTART_PAUSE_US
    while True:
        began_us = scheduler.poller.now_us()
        try:
            function(*args)
            return
        except Exception as error:
            scheduler.on_crash(scheduler.current, error)
        now_us = scheduler.poller.now_us()
        if now_us - began_us > MAX_RESTART_PAUSE_US:
            pause_us = MIN_RESTART_PAUSE_US
        scheduler.sleep_until(now_us + pause_us)
        pause_us = min(2 * pause_us, MAX_RESTART_PAUSE_US)
