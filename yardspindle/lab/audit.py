"""The audit: reads what clients and engines wrote down of their sockets, and checks the five rules as it goes.

It knows no code of the router and none of its logs. Lines are what `clients.py` and `engine.py` note, and lines of
whoever makes trouble: `killed` for an engine that could not write, `control` for what an engine was told, and for
an edge (by its port and the prefix of its ids) `edge killed`, `edge started`, `edge stalled` and `edge woke`;
`blind` and `seen` for a box that edges cannot reach. Times are of one clock, in microseconds, and lines are taken in
their order.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct

JournalLine = dict[str, Any]
Spans = list[list[int]]
FOREVER = 1 << 62
ANSWERED = ("served", "refused", "failed")


class AuditLimits(Struct, forbid_unknown_fields=True, frozen=True):
    """What the rules state, and how exactly several busy processes on one machine can be measured."""

    release_ms: float = 300.0
    drain_grace_ms: float = 500.0
    list_ms: float = 250.0  # until every planner has read a changed list
    slack_ms: float = 400.0
    left_ms: float = 1_000.0  # until an attempt has ended whose client hung up
    hold_ms: float = 5_000.0  # after which engines let go by themselves of what a killed edge left
    unsafe: tuple[str, ...] = ()


@dataclass(slots=True)
class AuditReport:
    """Breaks of the rules, and the tally of final answers."""

    violations: list[tuple[str, str]] = field(default_factory=list)
    outcomes: dict[str, Counter[str]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def add_violation(self, rule: str, text: str) -> None:
        """Note a break."""
        self.violations.append((rule, text))

    def summary(self) -> str:
        """For people."""
        kinds = ("served", "refused", "failed", "left", "unreachable", "lost", "late")
        rows = [f"{'class':12}" + "".join(f"{kind:>12}" for kind in kinds)]
        for cls in sorted(self.outcomes):
            rows.append(f"{cls:12}" + "".join(f"{self.outcomes[cls][kind]:12}" for kind in kinds))
        rows += [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        rows += [f"BROKEN {rule}: {text}" for rule, text in self.violations[:50]]
        rows.append(f"rules broken: {len(self.violations)}")
        return "\n".join(rows)


def audit_journals(
    client_lines: Iterable[JournalLine], box_lines: Iterable[JournalLine], limits: AuditLimits
) -> AuditReport:
    """Check a day from its journals."""
    checks = Audit(limits)
    lines = [*box_lines, *client_lines]
    for line in sorted(lines, key=lambda row: row["t"]):  # stable: a box's line before a client's of the same time
        checks.record(line)
    return checks.finish()


@dataclass(slots=True)
class _Edge:
    """What is known of an edge by the port its clients use."""

    outages: Spans = field(default_factory=list)  # when it was stalled or (to the end) killed
    killed: bool = False


@dataclass(slots=True)
class _Hold:
    since_us: int


class Audit:
    """The checks, fed line by line."""

    def __init__(self, limits: AuditLimits) -> None:
        """Nothing was seen."""
        self.report = AuditReport()
        self._limits = limits
        self._slack_us = int(limits.slack_ms * 1_000)
        self._now = 0
        self._sends: dict[str, JournalLine] = {}
        self._final_counts: Counter[str] = Counter()
        self._edges: dict[int, _Edge] = defaultdict(_Edge)
        self._edge_outages: dict[str, Spans] = defaultdict(list)  # by the prefix of an edge's ids
        self._runs: dict[str, list[JournalLine]] = defaultdict(list)
        self._try_of_run: dict[str, str] = {}
        self._ends: dict[tuple[str, str], JournalLine] = {}
        self._order_runs: Counter[str] = Counter()
        self._complete_events: dict[str, int] = {}
        self._draining_since: dict[str, int] = {}
        self._attempt_spans: dict[str, Spans] = defaultdict(list)  # by request: from, to
        self._open_attempts: dict[tuple[str, str], list[int]] = {}
        self._stages: dict[str, str] = {}
        self._holds: dict[tuple[str, str], _Hold] = {}
        self._unreachable: dict[str, Spans] = defaultdict(list)  # by box: when nothing could reach it
        self._hung: dict[str, Spans] = defaultdict(list)  # by box: when it answered nothing
        self._reported: set[tuple[str, str]] = set()  # holds and attempts whose break was told
        self._try_of_attempt: dict[str, str] = {}  # by attempt: the try that it is for
        self._hung_up_us: dict[str, int] = {}  # tries whose client hung up: when

    def record(self, line: JournalLine) -> None:
        """The next line."""
        self._now = max(self._now, line["t"])
        if "try" in line:
            self._client_line(line)
        elif line["ev"].startswith("edge "):
            self._edge_line(line)
        else:
            self._engine_line(line)

    def check_until(self, now_us: int) -> None:
        """Check what is held by now; the report grows by what is held too long."""
        self._now = max(self._now, now_us)
        for box, name in list(self._holds):
            self._check_hold(box, name, now_us)
        for (box, name), (since, _) in list(self._open_attempts.items()):
            self._check_abandoned(box, name, since, now_us)

    def finish(self) -> AuditReport:
        """No more lines come."""
        self.check_until(self._now)
        for name in self._sends:
            if self._final_counts[name] != 1:
                self.report.add_violation("one final answer", f"{name}: {self._final_counts[name]} final answers")
        for name, rows in self._runs.items():
            self._check_interrupted(name, rows)
        waiting = [
            line
            for line in self._ends.values()
            if line["stage"] == "write" and line["how"] == "client gone" and line["id"] not in self._try_of_run
        ]
        self.report.counts["requests given up while they waited for their state"] += len(waiting)
        return self.report

    # --- edges

    def _edge_line(self, line: JournalLine) -> None:
        edge, spans = self._edges[line["edge"]], self._edge_outages[line["prefix"]]
        if line["ev"] in ("edge woke", "edge started"):
            _close(edge.outages, line["t"] + self._slack_us)
            _close(spans, line["t"])  # of a new start no id is known yet: the killed one's stay open
            return
        edge.outages.append([line["t"], FOREVER])
        spans.append([line["t"], FOREVER])
        edge.killed = edge.killed or line["ev"] == "edge killed"

    # --- rule 1: one final answer for each try, in time, nothing after it

    def _client_line(self, line: JournalLine) -> None:
        name, report = line["try"], self.report
        if line["ev"] == "send":
            self._sends[name] = {**line, "outcome": ""}
            return
        self._final_counts[name] += 1
        known = self._sends[name]
        if line["outcome"] == "left" and line.get("code") == "hung up":
            self._hung_up_us[name] = line["t"]
        known.update(outcome=line["outcome"], code=line["code"], end_t=line["t"], events=line["events"])
        report.outcomes.setdefault(known["cls"], Counter())[line["outcome"]] += 1
        away = any(start <= line["t"] and end >= known["t"] for start, end in self._edges[known["edge"]].outages)
        if line["outcome"] in ("lost", "late"):
            if away:
                report.counts["answers lost or late with their edge"] += 1
            else:
                report.add_violation("one final answer", f"{name}: {line['outcome']} ({line['code']})")
        if line["extra"]:
            report.add_violation("one final answer", f"{name}: {line['extra']} events after the end")
        waited = line["first_t"] - known["t"]
        answered = line["outcome"] in ANSWERED
        if answered and waited > known["deadline_us"] + self._slack_us and not away:
            report.add_violation("one final answer", f"{name}: after {waited} us of {known['deadline_us']}")
        if answered and waited > known["deadline_us"]:
            report.counts["answers past the client's time, within the measuring slack"] += 1
        if line["outcome"] == "served":
            if name not in self._complete_events:
                report.add_violation("one final answer", f"{name} was served and no engine wrote it whole")
            elif line["events"] not in (1, self._complete_events[name]):
                report.add_violation(
                    "one final answer", f"{name}: {line['events']} events of {self._complete_events[name]}"
                )
        if line["outcome"] == "refused" and known["cls"] in self._limits.unsafe and self._runs.get(name):
            report.add_violation("no effect twice", f"{name} ran and was refused")

    # --- rule 2: what must not run twice does not, and what was refused did not run

    def _run_started(self, line: JournalLine) -> None:
        name, report = line["lab"], self.report
        rows = self._runs[name]
        rows.append(line)
        self._try_of_run[line["id"]] = name
        known = self._sends.get(name)
        if known is None:
            report.add_violation("no effect twice", f"{name} ran and no client sent it")
        elif known["cls"] in self._limits.unsafe:
            self._order_runs[known["order"]] += 1
            if self._order_runs[known["order"]] > 1:
                report.add_violation(
                    "no effect twice", f"{known['order']} ran {self._order_runs[known['order']]} times"
                )
            if known["outcome"] == "refused":
                report.add_violation("no effect twice", f"{name} ran and was refused")

    def _run_ended(self, line: JournalLine) -> None:
        rows = self._runs.get(self._try_of_run.get(line["id"], ""), [])
        for first, second in zip(rows, rows[1:], strict=False):
            here = first["box"] == line["box"] and first["id"] == line["id"]
            if here and line["t"] > second["t"] + self._slack_us:
                self.report.add_violation(
                    "no effect twice", f"{line['id']} ran at {first['box']} and {second['box']} at once"
                )

    def _check_interrupted(self, name: str, rows: list[JournalLine]) -> None:
        known = self._sends.get(name)
        if known is None or known["cls"] not in self._limits.unsafe:
            return
        cut = [row for row in rows if (end := self._ends.get((row["box"], row["id"]))) is None or end["how"] == "reset"]
        if cut and known["outcome"] not in ("left", "lost", "late"):
            self.report.counts["orders whose writer broke off"] += 1
            if known["outcome"] != "failed":
                self.report.add_violation(
                    "no effect twice", f"{name}: its writer broke off and it was {known['outcome']}"
                )

    # --- boxes, and rules 3 and 4

    def _engine_line(self, line: JournalLine) -> None:
        box, name, t, report = line["box"], line["id"], line["t"], self.report
        match line["ev"]:
            case "arrive":
                self._check_drain(line)
                span = [t, FOREVER]
                self._stages[name] = line["stage"]
                self._open_attempts[(box, name)] = span
                self._try_of_attempt[name] = line.get("lab", "")
                self._attempt_spans[_request_of(name)].append(span)
            case "end" | "gone":
                if (box, name) in self._open_attempts:
                    self._open_attempts.pop((box, name))[1] = t
                if line["ev"] == "end" and (line["stage"] == "write" or name in self._try_of_run):
                    self._ends[(box, name)] = line
                    self._run_ended(line)
            case "run":
                self._run_started(line)
            case "sent" if line.get("whole") and name in self._try_of_run:
                self._complete_events[self._try_of_run[name]] = line["tokens"]
            case "hold state" | "hold place":
                self._holds[(box, name)] = _Hold(t)
            case "fetched" | "take place" | "release":
                self._end_hold(box, name, t)
            case "expire":
                hold = self._holds.get((box, name))
                since = hold.since_us if hold is not None else t
                excused = self._overlaps(self._unresponsive_spans(box), since, t) or self._overlaps(
                    self._edge_outages[_edge_of(name)], since, t
                )
                if not excused:  # else nobody could tell it to let go
                    report.add_violation("nothing left pinned", f"{name} lapsed at {box}")
                self._end_hold(box, name, t)
            case "killed":
                self._engine_killed(box, t)
            case "fell":
                report.add_violation("no cold server pushed over", f"{box} fell at {t}")
            case "control":
                self._control(box, line["do"], t)
            case "blind":
                self._unreachable[box].append([t, FOREVER])
            case "seen":
                self._reachable_again(box, t)
            case _:
                pass

    def _control(self, box: str, do: str, t: int) -> None:
        match do:
            case "hang":
                self._hung[box].append([t, FOREVER])
            case "wake":
                _close(self._hung[box], t)
            case "listed_draining":
                self._draining_since[box] = t
                self.report.counts["drains"] += 1
            case "listed_serving":
                self._draining_since.pop(box, None)
            case _:
                pass

    def _reachable_again(self, box: str, t: int) -> None:
        for span in self._unreachable[box]:  # the oldest that is still open: faults may overlap
            if span[1] == FOREVER:
                span[1] = t
                return

    def _check_drain(self, line: JournalLine) -> None:
        """Nothing new after the list told, was read, and the grace has passed."""
        since = self._draining_since.get(line["box"])
        allowed_us = (self._limits.drain_grace_ms + self._limits.list_ms) * 1_000 + self._slack_us
        if since is not None and line["t"] > since + allowed_us:
            self.report.add_violation("drains kept", f"{line['id']} came to {line['box']} {line['t'] - since} us late")

    def _engine_killed(self, box: str, t: int) -> None:
        for key in [key for key in self._holds if key[0] == box]:
            self._end_hold(*key, t)
        for key in [key for key in self._open_attempts if key[0] == box]:
            self._open_attempts.pop(key)[1] = t
            part = "stream" if key[1] in self._try_of_run else "read" if self._stages[key[1]] == "read" else "move"
            self.report.counts[f"attempts whose box died mid-{part}"] += 1
        _close(self._hung[box], t)

    # --- rule 5: a state or place without an attempt out is used or let go in time

    def _end_hold(self, box: str, name: str, t: int) -> None:
        if (box, name) in self._holds:
            self.report.counts["states and places held"] += 1
            self._check_hold(box, name, t)
            del self._holds[(box, name)]

    def _check_hold(self, box: str, name: str, t: int) -> None:
        hold = self._holds[(box, name)]
        away = self._edge_outages[_edge_of(name)]
        left = self._limits.hold_ms * 1.1 * 1_000 + self._slack_us
        blind = [span for by_box in (self._unreachable, self._hung) for spans in by_box.values() for span in spans]
        free = _longest_uncovered(hold.since_us, t, self._attempt_spans[_request_of(name)] + blind + away)
        orphaned = t - hold.since_us > left and away and away[-1][1] == FOREVER and not blind
        if (free > self._limits.release_ms * 1_000 + self._slack_us or orphaned) and (box, name) not in self._reported:
            self._reported.add((box, name))
            self.report.add_violation("nothing left pinned", f"{name} at {box} for {free} us with no attempt out")

    def _check_abandoned(self, box: str, name: str, since: int, now_us: int) -> None:
        """An attempt goes on though its client hung up."""
        left_us = self._hung_up_us.get(self._try_of_attempt.get(name, ""))
        if left_us is None or (box, name) in self._reported:
            return
        told_us = max(left_us, since)
        free = _longest_uncovered(told_us, now_us, self._unresponsive_spans(box) + self._edge_outages[_edge_of(name)])
        if free > self._limits.left_ms * 1_000 + self._slack_us:
            self._reported.add((box, name))
            self.report.add_violation("nothing left pinned", f"{name} at {box} goes on {free} us after its client left")

    def _unresponsive_spans(self, box: str) -> Spans:
        """When it could not be told to let go."""
        return self._unreachable[box] + self._hung[box]

    @staticmethod
    def _overlaps(spans: Spans, start: int, end: int) -> bool:
        return any(a <= end and b >= start for a, b in spans)


def _close(spans: Spans, t: int) -> None:
    if spans:
        spans[-1][1] = min(spans[-1][1], t)


def _request_of(name: str) -> str:
    return name.rpartition(".")[0]


def _edge_of(name: str) -> str:
    return name.partition("-")[0]


def _longest_uncovered(start: int, end: int, spans: Spans) -> int:
    """The longest part of a time that none of the spans covers."""
    longest, at = 0, start
    for a, b in sorted(spans):
        if b <= at:
            continue
        longest = max(longest, min(a, end) - at)
        at = max(at, b)
    return max(longest, end - at)
