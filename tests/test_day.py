"""A scripted day with real processes, and its audit, which must find each rule broken on purpose."""

from __future__ import annotations

import copy
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from yardspindle.core.config import ConfigError
from yardspindle.lab.audit import AuditLimits, JournalLine, audit_journals
from yardspindle.lab.day import load_day, read_journal

ROOT = Path(__file__).parent.parent
LIMITS = AuditLimits(unsafe=("order",))


@pytest.fixture(scope="module")
def journals(tmp_path_factory: pytest.TempPathFactory) -> tuple[list[JournalLine], list[JournalLine]]:
    folder = tmp_path_factory.mktemp("day")
    result = subprocess.run(
        [sys.executable, "-m", "yardspindle", "lab", "day", "examples/days/short.toml", "--keep", str(folder)],
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
