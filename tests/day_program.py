"""Runs `yardspindle lab day ARGUMENTS...` so that a fault for a stage (`when`) finds an attempt still in that stage.

The day looks for the stage in the engines' journal and then applies the fault. On a busy machine a read of some 10 ms
was over before the engine was killed. Here the engine is stopped first, and if the journal then shows no attempt of it
in the stage, it is continued and the next one is awaited.
"""

from __future__ import annotations

import os
import signal
import sys

from yardspindle.cli.main import main
from yardspindle.lab.day import DayRun, read_journal
from yardspindle.lab.fleet import EngineInstance
from yardspindle.runtime.process import Child

find_engine = DayRun._wait_for_stage


def open_stages(journal: str, engine: str) -> set[str]:
    """The stages of the engine's attempts that have not ended, as the audit counts them."""
    stages: dict[str, str] = {}
    for line in read_journal(journal):
        if line["box"] == engine:
            match line["ev"]:
                case "arrive":
                    stages[line["id"]] = "read" if line["stage"] == "read" else "move"
                case "run":
                    stages[line["id"]] = "stream"
                case "end" | "gone":
                    stages.pop(line["id"], None)
                case "start" | "killed":
                    stages.clear()
    return set(stages.values())


def stop(child: Child) -> None:
    """Stops the process and returns once it is stopped or has exited."""
    child.send(signal.SIGSTOP)
    if child.running():
        os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)


def wait_for_open_stage(run: DayRun, when: str, candidates: list[EngineInstance]) -> EngineInstance:
    """As DayRun's own method; the engine that it returns is stopped, and the day's faults with a stage all kill it."""
    while True:
        engine = find_engine(run, when, candidates)
        assert engine.child is not None
        stop(engine.child)
        if when in open_stages(run.engine_journal, engine.settings.name):
            return engine
        engine.child.send(signal.SIGCONT)


if __name__ == "__main__":
    setattr(DayRun, "_wait_for_stage", wait_for_open_stage)  # noqa: B010  mypy: a method
    sys.argv[1:1] = ["lab", "day"]
    main()
