"""A scripted day with real processes, and its audit, which must find each rule broken on purpose."""

from __future__ import annotations

import copy
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from yardspindle.core.config import ConfigError
from yardspindle.lab import fleet as fleet_module
from yardspindle.lab.audit import AuditLimits, JournalLine, audit_journals
from yardspindle.lab.day import Day, DayFault, DayRun, load_day, read_journal
from yardspindle.runtime.process import Child, ChildError
from yardspindle.runtime.real import RealWorld

ROOT = Path(__file__).parent.parent
LIMITS = AuditLimits(unsafe=("order",))


@pytest.fixture(scope="module")
def journals(tmp_path_factory: pytest.TempPathFactory) -> tuple[list[JournalLine], list[JournalLine]]:
    folder = tmp_path_factory.mktemp("day")
    result = subprocess.run(
        [sys.executable, "-m", "tests.day_program", "examples/days/short.toml", "--keep", str(folder)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.endswith("rules broken: 0\n")
    return read_journal(str(folder / "clients.jsonl")), read_journal(str(folder / "boxes.jsonl"))


def test_a_bad_day_breaks_no_rule_and_every_try_is_tallied(
    journals: tuple[list[JournalLine], list[JournalLine]],
) -> None:
    clients, boxes = journals
    report = audit_journals(clients, boxes, LIMITS)
    assert report.violations == []
    attempts = [line for line in clients if line["ev"] == "send"]
    assert sum(sum(row.values()) for row in report.outcomes.values()) == len(attempts) > 100
    assert all(report.counts[f"attempts whose box died mid-{part}"] for part in ("read", "move", "stream"))
    assert report.outcomes["order"]["served"] and report.outcomes["enquiry"]["served"]
    assert {"killed", "control", "start", "hold state", "hold place", "release", "fetched"} <= {
        line["ev"] for line in boxes
    }


def first(lines: list[JournalLine], **wanted: Any) -> JournalLine:
    return next(line for line in lines if all(line.get(key) == value for key, value in wanted.items()))


def served_order(clients: list[JournalLine]) -> str:
    orders = {line["try"] for line in clients if line["ev"] == "send" and line["cls"] == "order"}
    return str(
        next(
            line["try"]
            for line in clients
            if line["ev"] == "final" and line["outcome"] == "served" and line["try"] in orders
        )
    )


def no_final(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    clients.remove(first(clients, ev="final", outcome="served"))


def two_finals(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    clients.append(dict(first(clients, ev="final", outcome="served")))


def late(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    line = first(clients, ev="final", outcome="served")
    line["first_t"] += 9_000_000


def something_after_the_end(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    first(clients, ev="final", outcome="served")["extra"] = 1


def cut_short_but_served(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    line = next(
        line for line in clients if line["ev"] == "final" and line["outcome"] == "served" and line["events"] > 2
    )
    line["events"] -= 1


def ran_twice(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    line = dict(first(boxes, ev="run", lab=served_order(clients)))
    boxes.append({**line, "t": line["t"] + 10, "box": "other", "id": line["id"] + "9"})


def ran_and_refused(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    name = served_order(clients)
    first(clients, ev="final", **{"try": name})["outcome"] = "refused"


def broke_off_and_served(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    run = first(boxes, ev="run", lab=served_order(clients))
    first(boxes, ev="end", id=run["id"])["how"] = "reset"


def sent_to_a_drained_box(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    command = first(boxes, ev="control", do="listed_draining")
    boxes.append({"t": command["t"] + 1_500_000, "box": command["box"], "ev": "arrive", "id": "x-1.0", "stage": "read"})


def fell_over(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    boxes.append({"t": boxes[-1]["t"], "box": "writer0-1", "ev": "fell", "id": "x"})


def state_never_let_go(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    # the audit may excuse the boxes with a fault
    faulted = {line["box"] for line in boxes if line["ev"] in ("killed", "control", "blind")}
    boxes.remove(next(line for line in boxes if line["ev"] == "fetched" and line["box"] not in faulted))


def place_let_go_late(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    line = first(boxes, ev="take place")
    line["t"] = max(other["t"] for other in boxes)
    boxes.remove(line)
    boxes.append(line)


def lapsed(clients: list[JournalLine], boxes: list[JournalLine]) -> None:
    line = dict(first(boxes, ev="release"))
    boxes.append({**line, "box": "writer0-1", "ev": "expire"})


Fault = Callable[[list[JournalLine], list[JournalLine]], None]


@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        (no_final, "one final answer"),
        (two_finals, "one final answer"),
        (late, "one final answer"),
        (something_after_the_end, "one final answer"),
        (cut_short_but_served, "one final answer"),
        (ran_twice, "no effect twice"),
        (ran_and_refused, "no effect twice"),
        (broke_off_and_served, "no effect twice"),
        (sent_to_a_drained_box, "drains kept"),
        (fell_over, "no cold server pushed over"),
        (state_never_let_go, "nothing left pinned"),
        (place_let_go_late, "nothing left pinned"),
        (lapsed, "nothing left pinned"),
    ],
)
def test_the_audit_finds_each_rule_broken_on_purpose(
    journals: tuple[list[JournalLine], list[JournalLine]], fault: Fault, rule: str
) -> None:
    clients, boxes = copy.deepcopy(journals)
    fault(clients, boxes)
    assert rule in {name for name, _ in audit_journals(clients, boxes, LIMITS).violations}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("seed = 1\nseconds = 1\nrate_per_s = 1\nclasses = []", "classes: empty"),
        ("seed = 1\nseconds = 1\nrate_per_s = 0\nclasses = []", "rate_per_s: expected"),
        ("[[troubles]]\nat_s = 1\ndo = 'kill'\nbox = 'x'\n", "no such box: x"),
        ("[[troubles]]\nat_s = 1\ndo = 'dance'\n", "troubles[0].do: invalid enum value 'dance'"),
    ],
)
def test_a_days_file_is_checked(tmp_path: Path, text: str, message: str) -> None:
    base = 'seed = 1\nseconds = 1\nrate_per_s = 1\n[[classes]]\nname = "a"\neffect = "safe"\nshare = 1\n'
    file = tmp_path / "d.toml"
    file.write_text(text if "seed" in text else base + text)
    with pytest.raises(ConfigError) as caught:
        load_day(str(file))
    assert message in str(caught.value) and str(file) in str(caught.value)


# --- faults that overlap, and days that end in an exception


READY, SILENT, EXITS = "echo ready http://127.0.0.1:9/ 1 2; exec sleep 600", "exec sleep 600", "exit 1"


class Programs:
    """Shell scripts in place of a fleet's programs: each serves at once, but for the starts listed in `scripts`."""

    def __init__(self) -> None:
        self.scripts: dict[tuple[str, int], str] = {}  # by name and number of the start, from 0
        self.children: list[Child] = []
        self.tasks_at_stop: list[str] = []  # names of the tasks that existed when the first process was stopped
        programs = self

        class ScriptChild(Child):
            def __init__(self, world: RealWorld, name: str, argv: list[str], log_path: str) -> None:
                script = programs.scripts.get((name, programs.starts(name)), READY)
                super().__init__(world, name, ["sh", "-c", script], log_path)
                programs.children.append(self)

            def send(self, number: signal.Signals) -> None:
                was_running = self.running()
                super().send(number)
                if was_running and number == signal.SIGKILL:  # so that `wait` returns before a task in `first_line`
                    os.waitid(os.P_PID, self.pid, os.WEXITED | os.WNOWAIT)

            def stop(self, grace_us: int) -> int:
                programs.tasks_at_stop = programs.tasks_at_stop or [task.name for task in self._world.scheduler.tasks]
                return super().stop(grace_us)

        self.child_type = ScriptChild

    def starts(self, name: str) -> int:
        return sum(child.name == name for child in self.children)

    def running(self) -> list[str]:
        return [child.name for child in self.children if child.running()]


@pytest.fixture
def programs(monkeypatch: pytest.MonkeyPatch) -> Iterator[Programs]:
    programs = Programs()
    monkeypatch.setattr(fleet_module, "Child", programs.child_type)
    yield programs
    for child in programs.children:
        child.send(signal.SIGKILL)


def day_run(faults: tuple[DayFault, ...] = ()) -> DayRun:
    """A day with one reader and two writers, and (nearly always) without requests."""
    document = {
        "seed": 1,
        "seconds": 1e-6,
        "rate_per_s": 1e-3,
        "dispatchers": 1,
        "racks": 1,
        "readers": 1,
        "writers": 2,
    }
    classes = [{"name": "a", "effect": "safe", "share": 1}]
    day = msgspec.convert({**document, "classes": classes, "troubles": msgspec.to_builtins(faults)}, Day)
    return DayRun(RealWorld(1), day, lambda line: None)


@pytest.mark.parametrize("killed", ["reader0-0", "writer0-0"])
def test_a_restart_does_not_wait_for_an_engine_that_another_fault_kills(programs: Programs, killed: str) -> None:
    """The restart waits for reader0-0 first, so it is killed during the wait for it, and writer0-0 before that wait."""
    run = day_run()
    world, fleet = run.world, run.fleet
    programs.scripts = {("reader0-0", 1): SILENT, (killed, 1): SILENT}

    def program() -> list[JournalLine]:
        for engine in fleet.engines:
            fleet.launch_engine(engine)
            fleet.wait_engine_ready(engine)
        restart = world.spawn("restart", run._run_fault, DayFault(at_s=0, do="restart_rack", down_s=0), world.now_us())
        with world.deadline(world.now_us() + 15_000_000):
            while programs.starts("writer0-1") < 2:  # all are started in one turn, in which the wait begins
                world.sleep_until(world.now_us() + 1_000)
            for name in dict.fromkeys([killed, "reader0-0"]):
                assert not restart.done and not Path(fleet.path("servers.toml")).exists()
                run._run_fault(DayFault(at_s=0, do="kill", box=name), world.now_us())
            restart.join()
        lines = read_journal(run.engine_journal)
        assert programs.running() == [*({"writer0-0"} - {killed}), "writer0-1"]
        assert Path(fleet.path("servers.toml")).exists()
        fleet.stop()
        return lines

    names = [line["box"] for line in world.run("test", program) if line["ev"] == "killed"]
    assert names == ["reader0-0", "writer0-0", "writer0-1", *dict.fromkeys([killed, "reader0-0"])]


def test_the_first_line_of_a_process_that_was_waited_for_is_an_error_at_once(programs: Programs) -> None:
    """`wait` closes the pipe: its number may belong to another file before the task that reads it runs again."""
    run = day_run()
    world, engine = run.world, run.fleet.engines[0]
    programs.scripts = {("reader0-0", 0): SILENT}

    def program() -> None:
        run.fleet.launch_engine(engine)
        reading = world.spawn("reading", run.fleet.wait_engine_ready, engine)
        world.sleep_until(world.now_us())
        assert engine.child is not None and not world.poller.idle()
        engine.child.send(signal.SIGKILL)
        assert engine.child.wait(world.now_us() + 5_000_000) == -signal.SIGKILL
        for wait in (reading.join, lambda: run.fleet.wait_engine_ready(engine)):
            with pytest.raises(ChildError, match="reader0-0 exited before it was ready"):
                wait()

    world.run("test", program)


def test_a_restarted_engine_that_exits_by_itself_fails_the_restart(programs: Programs) -> None:
    run = day_run()
    programs.scripts = {("writer0-0", 1): EXITS}

    def program() -> None:
        for engine in run.fleet.engines:
            run.fleet.launch_engine(engine)
            run.fleet.wait_engine_ready(engine)
        try:
            run._run_fault(DayFault(at_s=0, do="restart_rack", down_s=0), run.world.now_us())
        finally:
            run.fleet.stop()

    with pytest.raises(ChildError, match="writer0-0 exited before it was ready"):
        run.world.run("test", program)


def test_a_day_that_ends_in_an_exception_stops_its_processes_and_starts_no_more(programs: Programs) -> None:
    """The failing fault runs in a task that no other one joins yet: the fault before it waits to start its engine."""
    waiting = DayFault(at_s=0, do="restart", box="writer0-0", down_s=3_600)
    run = day_run((waiting, DayFault(at_s=0, do="restart", box="writer0-1", down_s=0)))
    programs.scripts = {("writer0-1", 1): EXITS}
    with pytest.raises(ChildError, match="writer0-1 exited before it was ready"):
        run.world.run("day", run.run)
    assert programs.running() == []
    assert programs.tasks_at_stop == ["day"]
    assert [child.name for child in programs.children].count("writer0-0") == 1


def test_a_fleet_stops_a_process_that_another_start_replaced(programs: Programs) -> None:
    run = day_run()

    def program() -> dict[str, int]:
        for _ in range(2):
            run.fleet.launch_engine(run.fleet.engines[0])
            run.fleet.wait_engine_ready(run.fleet.engines[0])
        return run.fleet.stop()

    assert run.world.run("test", program) == {"reader0-0": -signal.SIGTERM}
    assert programs.running() == []
