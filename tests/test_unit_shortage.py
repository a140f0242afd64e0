"""The unit supervisor's processes and files while the system is short of descriptors, processes or disk space."""

from __future__ import annotations

import builtins
import errno
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.test_runtime import world
from tests.test_runtime_failures import failing
from yardspindle.core.fleet import unit as unit_control
from yardspindle.core.fleet.unit import UnitFile
from yardspindle.runtime.detached_process import DetachedProcess
from yardspindle.runtime.process import Child
from yardspindle.runtime.real import RealWorld
from yardspindle.unit.app import UnitSupervisor
from yardspindle.unit.runner import ProcessRunner

SLEEP = (sys.executable, "-c", "import time; time.sleep(60)")


def start_sleeper(w: RealWorld, folder: Path) -> DetachedProcess:
    return DetachedProcess.start(w, SLEEP, str(folder / "log"), f"{folder} 1")


def test_a_process_counts_as_running_while_no_descriptor_is_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lack of descriptors being taken for the unit's end: a second copy was started beside it."""
    w = world()

    def main() -> None:
        process = start_sleeper(w, tmp_path)
        process = DetachedProcess(w, process.pid, process.start_ticks)  # as a restarted supervisor finds it
        try:
            with monkeypatch.context() as patch:
                patch.setattr(builtins, "open", failing(open, *[errno.EMFILE] * 9))
                assert process.alive()
                with pytest.raises(OSError, match="injected"):
                    DetachedProcess.find(w, f"{tmp_path} 1")
            with monkeypatch.context() as patch:
                patch.setattr(os, "pidfd_open", failing(os.pidfd_open, errno.EMFILE, errno.ENFILE))
                assert not process.wait(w.now_us() + 100_000)
            with monkeypatch.context() as patch:
                patch.setattr(os, "pidfd_open", failing(os.pidfd_open, errno.EMFILE))
                process.send(signal.SIGTERM)
            os.waitpid(process.pid, 0)
            assert not process.alive()
        finally:
            process.send(signal.SIGKILL)

    w.run("main", main)


def unit_file(folder: Path, **changes: Any) -> UnitFile:
    fields: dict[str, Any] = {
        "name": "u",
        "kind": "host",
        "fleet": "-",
        "versions": ("1",),
        "run": SLEEP,
        "state": str(folder / "state"),
    }
    return UnitFile(**fields | changes)


def test_a_start_that_the_system_has_no_room_for_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an order to start being refused for good after one EAGAIN of fork."""
    w = world()

    def main() -> int:
        runner = ProcessRunner(w, unit_file(tmp_path))
        with monkeypatch.context() as patch:
            patch.setattr(subprocess, "Popen", failing(subprocess.Popen, errno.EAGAIN, errno.ENOMEM))
            code = runner.start("1", f"{tmp_path} 2")
        os.kill(runner.id()[0], signal.SIGKILL)
        return code

    assert w.run("main", main) == 0


def test_a_command_is_waited_for_while_no_descriptor_is_free(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the task of a command ending without its result: the order was never done."""
    w = world()

    def main() -> int | None:
        child = Child(w, "sleeper", SLEEP, str(tmp_path / "log"))
        with monkeypatch.context() as patch:
            patch.setattr(os, "pidfd_open", failing(os.pidfd_open, errno.EMFILE))
            os.kill(child.pid, signal.SIGTERM)
            return child.wait(w.now_us() + 5_000_000)

    assert w.run("main", main) == -signal.SIGTERM


def test_files_are_written_whole_though_single_writes_are_short(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state file that lacks its end."""
    w, write = world(), os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:3]))
    w.replace_file(str(tmp_path / "state"), b"0123456789")
    w.append_file(str(tmp_path / "state"), b"abcdef")
    assert (tmp_path / "state").read_bytes() == b"0123456789abcdef"


def test_state_that_cannot_be_saved_is_saved_later(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the task of the orders ending at a full disk; the order is not begun before it is saved."""
    w, file = world(), unit_file(tmp_path)
    supervisor = UnitSupervisor.__new__(UnitSupervisor)
    supervisor.world, supervisor.file, supervisor.runner = w, file, ProcessRunner(w, file)
    saved = unit_control.SavedState("1", number=7)
    supervisor.state = unit_control.UnitState(file, saved)
    monkeypatch.setattr(w, "replace_file", failing(w.replace_file, errno.ENOSPC, errno.EIO))
    w.run("main", lambda: supervisor._save(saved))
    assert b'"number":7' in Path(file.state).read_bytes()
