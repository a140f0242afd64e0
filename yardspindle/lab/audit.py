"""The audit of a day: reads what clients and engines wrote down of their sockets, and checks the five rules.

It knows no code of the router and none of its logs. Lines are what `clients.py` and `engine.py` note, and `killed`
lines that the day's script writes for an engine that could not. Times are of one machine's clock, in microseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct

Line = dict[str, Any]


class Figures(Struct, forbid_unknown_fields=True, frozen=True):
    """What the rules state, and how exactly several busy processes on one machine can be measured."""

    release_ms: float = 300.0
    drain_grace_ms: float = 500.0
    list_ms: float = 250.0  # until every planner has read a changed list
    slack_ms: float = 400.0
    unsafe: tuple[str, ...] = ()


@dataclass(slots=True)
class Report:
    """Breaks of the rules, and the tally of final answers."""

    breaks: list[tuple[str, str]] = field(default_factory=list)
    tally: dict[str, Counter[str]] = field(default_factory=dict)
    named: Counter[str] = field(default_factory=Counter)

    def broke(self, rule: str, text: str) -> None:
        """Note a break."""
        self.breaks.append((rule, text))

    def text(self) -> str:
        """For people."""
        kinds = ("served", "refused", "failed", "left", "unreachable", "lost", "late")
        rows = [f"{'class':12}" + "".join(f"{kind:>12}" for kind in kinds)]
        for cls in sorted(self.tally):
            rows.append(f"{cls:12}" + "".join(f"{self.tally[cls][kind]:12}" for kind in kinds))
        rows += [f"{name}: {count}" for name, count in sorted(self.named.items())]
        rows += [f"BROKEN {rule}: {text}" for rule, text in self.breaks[:50]]
        rows.append(f"rules broken: {len(self.breaks)}")
        return "\n".join(rows)


def audit(client_lines: Iterable[Line], box_lines: Iterable[Line], figures: Figures) -> Report:
    """Check a day."""
    report = Report()
    boxes = sorted(box_lines, key=lambda line: line["t"])
    tries = _answers(list(client_lines), figures, report)
    _effects(tries, boxes, figures, report)
    _drains(boxes, figures, report)
    _cold(boxes, report)
    _pinned(boxes, figures, report)
    return report


def _answers(lines: list[Line], figures: Figures, report: Report) -> dict[str, Line]:
    """Rule 1: one final answer for each try, in time, nothing after it."""
    tries: dict[str, Line] = {}
    finals: Counter[str] = Counter()
    for line in sorted(lines, key=lambda row: row["t"]):
        name = line["try"]
        if line["ev"] == "send":
            tries[name] = {**line, "outcome": ""}
            continue
        finals[name] += 1
        known = tries[name]
        known.update(outcome=line["outcome"], code=line["code"], end_t=line["t"], events=line["events"])
        report.tally.setdefault(known["cls"], Counter())[line["outcome"]] += 1
        if line["outcome"] in ("lost", "late"):
            report.broke("one final answer", f"{name}: {line['outcome']} ({line['code']})")
        if line["extra"]:
            report.broke("one final answer", f"{name}: {line['extra']} events after the end")
        waited = line["first_t"] - known["t"]
        answered = line["outcome"] in ("served", "refused", "failed")
        if answered and waited > known["deadline_us"] + figures.slack_ms * 1_000:
            report.broke("one final answer", f"{name}: after {waited} us of {known['deadline_us']}")
        if answered and waited > known["deadline_us"]:
            report.named["answers past the client's time, within the measuring slack"] += 1
    for name in tries:
        if finals[name] != 1:
            report.broke("one final answer", f"{name}: {finals[name]} final answers")
    return tries


def _effects(tries: dict[str, Line], boxes: list[Line], figures: Figures, report: Report) -> None:
    """Rule 2: what must not run twice does not, and what was refused did not run."""
    runs: dict[str, list[Line]] = defaultdict(list)
    request_of: dict[str, str] = {}
    ends: dict[tuple[str, str], Line] = {}
    for line in boxes:
        if line["ev"] == "run":
            runs[line["lab"]].append(line)
            request_of[line["id"]] = line["lab"]
        elif line["ev"] == "end" and line["id"] in request_of:
            ends[(line["box"], line["id"])] = line
    by_order: Counter[str] = Counter()
    for name, rows in runs.items():
        known = tries.get(name)
        if known is None:
            report.broke("no effect twice", f"{name} ran and no client sent it")
            continue
        unsafe = known["cls"] in figures.unsafe
        by_order[known["order"]] += len(rows) if unsafe else 0
        if unsafe and known["outcome"] == "refused":
            report.broke("no effect twice", f"{name} ran and was refused")
        for first, second in zip(rows, rows[1:], strict=False):
            end = ends.get((first["box"], first["id"]))
            if end is not None and end["t"] > second["t"] + figures.slack_ms * 1_000:
                report.broke("no effect twice", f"{name} ran at {first['box']} and {second['box']} at once")
        cut = [row for row in rows if (end := ends.get((row["box"], row["id"]))) is None or end["how"] == "reset"]
        if unsafe and cut and known["outcome"] not in ("left", "lost", "late"):
            report.named["orders whose writer broke off"] += 1
            if known["outcome"] != "failed":
                report.broke("no effect twice", f"{name}: its writer broke off and it was {known['outcome']}")
    for order, count in by_order.items():
        if count > 1:
            report.broke("no effect twice", f"{order} ran {count} times")
    sent = {request_of[line["id"]]: line["tokens"] for line in boxes
            if line["ev"] == "sent" and line.get("whole") and line["id"] in request_of}
    for name, known in tries.items():
        if known["outcome"] == "served" and name not in sent:
            report.broke("one final answer", f"{name} was served and no engine wrote it whole")
        elif known["outcome"] == "served" and known["events"] not in (1, sent[name]):
            report.broke("one final answer", f"{name}: {known['events']} events of {sent[name]}")
    waiting = [line for line in boxes if line["ev"] == "end" and line["stage"] == "write"
               and line["how"] == "client gone" and line["id"] not in request_of]
    report.named["requests given up while they waited for their state"] += len(waiting)


def _drains(boxes: list[Line], figures: Figures, report: Report) -> None:
    """Rule 3: nothing new after the list told, was read, and the grace has passed."""
    since: dict[str, int] = {}
    allowed_us = (figures.drain_grace_ms + figures.list_ms + figures.slack_ms) * 1_000
    for line in boxes:
        if line["ev"] == "control" and line["do"] in ("listed_draining", "listed_serving"):
            if line["do"] == "listed_draining":
                since[line["box"]] = line["t"]
                report.named["drains"] += 1
            else:
                since.pop(line["box"], None)
        elif line["ev"] == "arrive" and line["box"] in since and line["t"] > since[line["box"]] + allowed_us:
            report.broke("drains kept", f"{line['id']} came to {line['box']} {line['t'] - since[line['box']]} us late")


def _cold(boxes: list[Line], report: Report) -> None:
    """Rule 4: no engine says that it fell over."""
    for line in boxes:
        if line["ev"] == "fell":
            report.broke("no cold server pushed over", f"{line['box']} fell at {line['t']}")


def _pinned(boxes: list[Line], figures: Figures, report: Report) -> None:
    """Rule 5: a state or place without an attempt out is used or let go in time."""
    out: dict[str, list[list[int]]] = defaultdict(list)  # by request: from, to
    open_attempts: dict[tuple[str, str], list[int]] = {}
    holds: list[tuple[str, str, int, int]] = []
    open_holds: dict[tuple[str, str], int] = {}
    hung: dict[str, list[list[int]]] = defaultdict(list)
    stages: dict[str, str] = {}
    running: set[str] = set()
    last = boxes[-1]["t"] if boxes else 0

    def close_hold(box: str, name: str, t: int) -> None:
        if (box, name) in open_holds:
            holds.append((box, name, open_holds.pop((box, name)), t))

    for line in boxes:
        box, name, t = line["box"], line["id"], line["t"]
        match line["ev"]:
            case "arrive":
                span = [t, last]
                stages[name] = line["stage"]
                open_attempts[(box, name)] = span
                out[_request(name)].append(span)
            case "end" | "gone":
                if (box, name) in open_attempts:
                    open_attempts.pop((box, name))[1] = t
            case "run":
                running.add(name)
            case "hold state" | "hold place":
                open_holds[(box, name)] = t
            case "fetched" | "take place" | "release":
                close_hold(box, name, t)
            case "expire" if hung[box] and hung[box][-1][1] > t:
                close_hold(box, name, t)  # it hangs: nobody could tell it to let go
            case "expire":
                report.broke("nothing left pinned", f"{name} lapsed at {box}")
                close_hold(box, name, t)
            case "killed":
                for key in [key for key in open_holds if key[0] == box]:
                    close_hold(*key, t)
                for key in [key for key in open_attempts if key[0] == box]:
                    open_attempts.pop(key)[1] = t
                    part = "stream" if key[1] in running else "read" if stages[key[1]] == "read" else "move"
                    report.named[f"attempts whose box died mid-{part}"] += 1
                _close(hung[box], t)
            case "control" if line["do"] == "hang":
                hung[box].append([t, last])
            case "control" if line["do"] == "wake":
                _close(hung[box], t)
            case _:
                pass
    holds += [(box, name, t, last) for (box, name), t in open_holds.items()]
    for box, name, start, end in holds:
        free = _uncovered(start, end, out[_request(name)] + hung[box])
        if free > (figures.release_ms + figures.slack_ms) * 1_000:
            report.broke("nothing left pinned", f"{name} at {box} for {free} us with no attempt out")
    report.named["states and places held"] += len(holds)


def _close(spans: list[list[int]], t: int) -> None:
    if spans:
        spans[-1][1] = min(spans[-1][1], t)


def _request(name: str) -> str:
    return name.rpartition(".")[0]


def _uncovered(start: int, end: int, spans: list[list[int]]) -> int:
    """The longest part of a time that none of the spans covers."""
    longest, at = 0, start
    for a, b in sorted(spans):
        if b <= at:
            continue
        longest = max(longest, min(a, end) - at)
        at = max(at, b)
    return max(longest, end - at)
