"""The audit: checks a run against the router's five rules, from what clients and engines recorded at their sockets.

The rules: 1. each try of a request gets one final answer, in time, and nothing after it ("one final answer"); 2. an
unsafe request runs at most once, and not if refused; no try runs at two engines at once ("no effect twice"); 3. a
draining engine gets nothing new ("drains kept"); 4. no cold engine is overloaded ("no cold server pushed over"); 5. no
state (KV cache left by a prefill) or place (memory reserved for a decode) is held unused ("nothing left pinned").

The audit shares no code with the router and reads none of its logs. Its input is the journals of `clients.py` and
`engine.py`, and lines of the fault injection: `killed` for an engine; `control` for a command to it; `edge killed`,
`edge started`, `edge stalled`, `edge woke` for an edge (the process that holds the client connections), by its port and
the prefix of its request ids; `blind` and `seen`, begin and end of a time in which edges cannot reach an engine. A
request (key `order`) is sent in one or more tries (`try` in the clients' journal, `lab` in the engines'); a try causes
attempts, an edge's calls to engines (`box`). Times are microseconds of one clock, in order.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct

JournalLine = dict[str, Any]
Spans = list[list[int]]
FOREVER = 1 << 62  # the end of a span that is still open
# Outcomes of a try. Besides these: "left" (the client hung up or stopped reading), "unreachable" (no connection),
# "lost" (its connection or stream broke), "late" (no complete answer within 1 s after its deadline).
ANSWERED = ("served", "refused", "failed")


class AuditLimits(Struct, forbid_unknown_fields=True, frozen=True):
    """Limits that the rules state, and the measuring slack."""

    release_ms: float = 300.0  # until a hold that no attempt uses is released
    drain_grace_ms: float = 500.0  # during which an engine listed as draining may still get new attempts
    list_ms: float = 250.0  # until every planner (it decides which engine does what) has read a changed server list
    slack_ms: float = 400.0  # how late busy processes that share a machine may act or record
    abandoned_ms: float = 1_000.0  # until an attempt ends after its client hung up
    hold_ms: float = 5_000.0  # after which engines expire what a killed edge left
    unsafe: tuple[str, ...] = ()  # classes of requests that must not run twice


@dataclass(slots=True)
class AuditReport:
    """Violations of the rules, final answers by request class and outcome, and other counts."""

    violations: list[tuple[str, str]] = field(default_factory=list)
    outcomes: dict[str, Counter[str]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def add_violation(self, rule: str, text: str) -> None:
        """Add a violation of a rule."""
        self.violations.append((rule, text))

    def summary(self) -> str:
        """A table of outcomes, then counts and violations, as text."""
        kinds = ("served", "refused", "failed", "left", "unreachable", "lost", "late")
        rows = [f"{'class':12}" + "".join(f"{kind:>12}" for kind in kinds)]
        for cls in sorted(self.outcomes):
            rows.append(f"{cls:12}" + "".join(f"{self.outcomes[cls][kind]:12}" for kind in kinds))
        rows += [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        rows += [f"BROKEN {rule}: {text}" for rule, text in self.violations[:50]]
        rows.append(f"rules broken: {len(self.violations)}")
        return "\n".join(rows)


def audit_journals(
    client_lines: Iterable[JournalLine], engine_lines: Iterable[JournalLine], limits: AuditLimits
) -> AuditReport:
    """Check a finished run from its journals."""
    checks = Audit(limits)
    lines = [*engine_lines, *client_lines]
    for line in sorted(lines, key=lambda row: row["t"]):  # stable: engine lines first at equal times
        checks.record(line)
    return checks.finish()


@dataclass(slots=True)
class _Edge:
    """An edge, by the port that its clients use."""

    outages: Spans = field(default_factory=list)  # when it was stalled or killed
    killed: bool = False


@dataclass(slots=True)
class _Hold:
    """A state or place that an engine holds."""

    since_us: int


class Audit:
    """Checks the rules as journal lines arrive, one by one."""

    def __init__(self, limits: AuditLimits) -> None:
        """Start with empty records."""
        self.report = AuditReport()
        self._limits = limits
        self._slack_us = int(limits.slack_ms * 1_000)
        self._now = 0
        self._sends: dict[str, JournalLine] = {}
        self._final_counts: Counter[str] = Counter()
        self._edges: dict[int, _Edge] = defaultdict(_Edge)
        self._edge_outages: dict[str, Spans] = defaultdict(list)  # by edge id, the prefix of its request ids
        self._runs: dict[str, list[JournalLine]] = defaultdict(list)
        self._try_of_run: dict[str, str] = {}  # by attempt id, once its writer (decode engine) runs it
        self._ends: dict[tuple[str, str], JournalLine] = {}
        self._run_counts: Counter[str] = Counter()  # runs of unsafe requests, by request (all its tries)
        self._complete_events: dict[str, int] = {}  # by try: number of events of an answer that its writer completed
        self._draining_since: dict[str, int] = {}
        self._attempt_spans: dict[str, Spans] = defaultdict(list)  # by request: start, end of each attempt
        self._open_attempts: dict[tuple[str, str], list[int]] = {}
        self._stages: dict[str, str] = {}
        self._holds: dict[tuple[str, str], _Hold] = {}
        self._unreachable: dict[str, Spans] = defaultdict(list)  # by engine: when no edge could reach it
        self._hung: dict[str, Spans] = defaultdict(list)  # by engine: when it answered no request
        self._reported: set[tuple[str, str]] = set()  # holds and attempts whose violation was added
        self._try_of_attempt: dict[str, str] = {}  # by attempt: the try that it serves
        self._hung_up_us: dict[str, int] = {}  # by try: when its client hung up

    def record(self, line: JournalLine) -> None:
        """Process the next line."""
        self._now = max(self._now, line["t"])
        if "try" in line:
            self._client_line(line)
        elif line["ev"].startswith("edge "):
            self._edge_line(line)
        else:
            self._engine_line(line)

    def check_until(self, now_us: int) -> None:
        """Check all holds and attempts that are still open at the given time."""
        self._now = max(self._now, now_us)
        for engine, name in list(self._holds):
            self._check_hold(engine, name, now_us)
        for (engine, name), (since, _) in list(self._open_attempts.items()):
            self._check_abandoned(engine, name, since, now_us)

    def finish(self) -> AuditReport:
        """Check what can be judged only after the last line; returns the report."""
        self.check_until(self._now)
        for name in self._sends:
            if self._final_counts[name] != 1:
                self.report.add_violation("one final answer", f"{name}: {self._final_counts[name]} final answers")
        for name, rows in self._runs.items():
            self._check_interrupted(name, rows)
        cancelled = [
            line
            for line in self._ends.values()
            if line["stage"] == "write" and line["how"] == "client gone" and line["id"] not in self._try_of_run
        ]
        self.report.counts["writes cancelled before they ran"] += len(cancelled)
        return self.report

    # --- edges

    def _edge_line(self, line: JournalLine) -> None:
        edge, spans = self._edges[line["edge"]], self._edge_outages[line["prefix"]]
        if line["ev"] in ("edge woke", "edge started"):
            _close(edge.outages, line["t"] + self._slack_us)
            _close(spans, line["t"])  # each start has its own prefix, so the span of a killed one stays open
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
        sent = self._sends[name]
        if line["outcome"] == "left" and line.get("code") == "hung up":
            self._hung_up_us[name] = line["t"]
        sent.update(outcome=line["outcome"], code=line["code"], end_t=line["t"], events=line["events"])
        report.outcomes.setdefault(sent["cls"], Counter())[line["outcome"]] += 1
        edge_down = any(start <= line["t"] and end >= sent["t"] for start, end in self._edges[sent["edge"]].outages)
        if line["outcome"] in ("lost", "late"):
            if edge_down:
                report.counts["answers lost or late with their edge"] += 1
            else:
                report.add_violation("one final answer", f"{name}: {line['outcome']} ({line['code']})")
        if line["extra"]:
            report.add_violation("one final answer", f"{name}: {line['extra']} events after the end")
        waited = line["first_t"] - sent["t"]
        answered = line["outcome"] in ANSWERED
        if answered and waited > sent["deadline_us"] + self._slack_us and not edge_down:
            report.add_violation("one final answer", f"{name}: answered after {waited} us of {sent['deadline_us']}")
        if answered and waited > sent["deadline_us"]:
            report.counts["answers after the client's deadline, within the slack"] += 1
        if line["outcome"] == "served":
            if name not in self._complete_events:
                report.add_violation("one final answer", f"{name} was served, but no engine completed its answer")
            elif line["events"] not in (1, self._complete_events[name]):
                report.add_violation(
                    "one final answer", f"{name}: {line['events']} of {self._complete_events[name]} events"
                )
        if line["outcome"] == "refused" and sent["cls"] in self._limits.unsafe and self._runs.get(name):
            report.add_violation("no effect twice", f"{name} ran and was refused")

    # --- rule 2: an unsafe request runs at most once, and not if refused; no try runs at two engines at once

    def _run_started(self, line: JournalLine) -> None:
        name, report = line["lab"], self.report
        rows = self._runs[name]
        rows.append(line)
        self._try_of_run[line["id"]] = name
        sent = self._sends.get(name)
        if sent is None:
            report.add_violation("no effect twice", f"{name} ran and no client sent it")
        elif sent["cls"] in self._limits.unsafe:
            self._run_counts[sent["order"]] += 1
            if self._run_counts[sent["order"]] > 1:
                report.add_violation("no effect twice", f"{sent['order']} ran {self._run_counts[sent['order']]} times")
            if sent["outcome"] == "refused":
                report.add_violation("no effect twice", f"{name} ran and was refused")

    def _run_ended(self, line: JournalLine) -> None:
        rows = self._runs.get(self._try_of_run.get(line["id"], ""), [])
        for first, second in zip(rows, rows[1:], strict=False):
            is_first = first["box"] == line["box"] and first["id"] == line["id"]
            if is_first and line["t"] > second["t"] + self._slack_us:
                self.report.add_violation(
                    "no effect twice", f"{line['id']} ran at {first['box']} and {second['box']} at once"
                )

    def _check_interrupted(self, name: str, rows: list[JournalLine]) -> None:
        sent = self._sends.get(name)
        if sent is None or sent["cls"] not in self._limits.unsafe:
            return
        interrupted = [
            row for row in rows if (end := self._ends.get((row["box"], row["id"]))) is None or end["how"] == "reset"
        ]
        if interrupted and sent["outcome"] not in ("left", "lost", "late"):
            self.report.counts["tries of unsafe requests whose writer was interrupted"] += 1
            if sent["outcome"] != "failed":
                self.report.add_violation("no effect twice", f"{name}: writer interrupted, but {sent['outcome']}")

    # --- engines, and rules 3 and 4

    def _engine_line(self, line: JournalLine) -> None:
        engine, name, t, report = line["box"], line["id"], line["t"], self.report
        match line["ev"]:
            case "arrive":
                self._check_drain(line)
                span = [t, FOREVER]
                self._stages[name] = line["stage"]
                self._open_attempts[(engine, name)] = span
                self._try_of_attempt[name] = line.get("lab", "")
                self._attempt_spans[_request_of(name)].append(span)
            case "end" | "gone":
                if (engine, name) in self._open_attempts:
                    self._open_attempts.pop((engine, name))[1] = t
                if line["ev"] == "end" and (line["stage"] == "write" or name in self._try_of_run):
                    self._ends[(engine, name)] = line
                    self._run_ended(line)
            case "run":
                self._run_started(line)
            case "sent" if line.get("whole") and name in self._try_of_run:
                self._complete_events[self._try_of_run[name]] = line["tokens"]
            case "hold state" | "hold place":
                self._holds[(engine, name)] = _Hold(t)
            case "fetched" | "take place" | "release":
                self._end_hold(engine, name, t)
            case "expire":
                hold = self._holds.get((engine, name))
                since = hold.since_us if hold is not None else t
                excused = self._overlaps(self._unresponsive_spans(engine), since, t) or self._overlaps(
                    self._edge_outages[_edge_of(name)], since, t
                )
                if not excused:  # the engine and its edge responded, so that a release was possible
                    report.add_violation("nothing left pinned", f"{name} expired at {engine}")
                self._end_hold(engine, name, t)
            case "killed":
                self._engine_killed(engine, t)
            case "fell":  # a cold engine was overloaded and stopped answering
                report.add_violation("no cold server pushed over", f"{engine} went down overloaded at {t}")
            case "control":
                self._control(engine, line["do"], t)
            case "blind":
                self._unreachable[engine].append([t, FOREVER])
            case "seen":
                self._reachable_again(engine, t)
            case _:
                pass

    def _control(self, engine: str, do: str, t: int) -> None:
        match do:
            case "hang":
                self._hung[engine].append([t, FOREVER])
            case "wake":
                _close(self._hung[engine], t)
            case "listed_draining":
                self._draining_since[engine] = t
                self.report.counts["drains"] += 1
            case "listed_serving":
                self._draining_since.pop(engine, None)
            case _:
                pass

    def _reachable_again(self, engine: str, t: int) -> None:
        for span in self._unreachable[engine]:  # close the oldest open span: faults may overlap
            if span[1] == FOREVER:
                span[1] = t
                return

    def _check_drain(self, line: JournalLine) -> None:
        """No new attempts once planners can have read the list that says "draining" and the grace has passed."""
        since = self._draining_since.get(line["box"])
        allowed_us = (self._limits.drain_grace_ms + self._limits.list_ms) * 1_000 + self._slack_us
        if since is not None and line["t"] > since + allowed_us:
            self.report.add_violation(
                "drains kept",
                f"{line['id']} arrived at {line['box']} {line['t'] - since} us after the list said draining",
            )

    def _engine_killed(self, engine: str, t: int) -> None:
        for key in [key for key in self._holds if key[0] == engine]:
            self._end_hold(*key, t)
        for key in [key for key in self._open_attempts if key[0] == engine]:
            self._open_attempts.pop(key)[1] = t
            part = "stream" if key[1] in self._try_of_run else "read" if self._stages[key[1]] == "read" else "move"
            self.report.counts[f"attempts whose box died mid-{part}"] += 1  # box: engine; move: fetching the state
        _close(self._hung[engine], t)

    # --- rule 5: a state or place with no attempt in flight is used or released in time

    def _end_hold(self, engine: str, name: str, t: int) -> None:
        if (engine, name) in self._holds:
            self.report.counts["states and places held"] += 1
            self._check_hold(engine, name, t)
            del self._holds[(engine, name)]

    def _check_hold(self, engine: str, name: str, t: int) -> None:
        hold = self._holds[(engine, name)]
        outages = self._edge_outages[_edge_of(name)]
        expiry_us = self._limits.hold_ms * 1.1 * 1_000 + self._slack_us
        # Spans of all engines count: an edge may keep a hold at one while it waits for an answer of another.
        unresponsive = [span for group in (self._unreachable, self._hung) for spans in group.values() for span in spans]
        idle = _longest_uncovered(hold.since_us, t, self._attempt_spans[_request_of(name)] + unresponsive + outages)
        orphaned = t - hold.since_us > expiry_us and outages and outages[-1][1] == FOREVER and not unresponsive
        idle_too_long = idle > self._limits.release_ms * 1_000 + self._slack_us
        if (idle_too_long or orphaned) and (engine, name) not in self._reported:
            self._reported.add((engine, name))
            self.report.add_violation(
                "nothing left pinned", f"{name} at {engine} for {idle} us with no attempt in flight"
            )

    def _check_abandoned(self, engine: str, name: str, since: int, now_us: int) -> None:
        """Check that an attempt whose client hung up ends in time."""
        hung_up_us = self._hung_up_us.get(self._try_of_attempt.get(name, ""))
        if hung_up_us is None or (engine, name) in self._reported:
            return
        since_us = max(hung_up_us, since)
        idle = _longest_uncovered(
            since_us, now_us, self._unresponsive_spans(engine) + self._edge_outages[_edge_of(name)]
        )
        if idle > self._limits.abandoned_ms * 1_000 + self._slack_us:
            self._reported.add((engine, name))
            self.report.add_violation("nothing left pinned", f"{name} at {engine} runs {idle} us after its client left")

    def _unresponsive_spans(self, engine: str) -> Spans:
        """When no release or cancellation could reach the engine."""
        return self._unreachable[engine] + self._hung[engine]

    @staticmethod
    def _overlaps(spans: Spans, start: int, end: int) -> bool:
        return any(a <= end and b >= start for a, b in spans)


def _close(spans: Spans, t: int) -> None:
    """End the latest span at `t`, if it is still open then."""
    if spans:
        spans[-1][1] = min(spans[-1][1], t)


def _request_of(attempt_id: str) -> str:
    """The request in an attempt's id, `EDGE-NUMBER.ATTEMPT`."""
    return attempt_id.rpartition(".")[0]


def _edge_of(attempt_id: str) -> str:
    return attempt_id.partition("-")[0]


def _longest_uncovered(start: int, end: int, spans: Spans) -> int:
    """The longest part of an interval that none of the spans covers."""
    longest, at = 0, start
    for a, b in sorted(spans):
        if b <= at:
            continue
        longest = max(longest, min(a, end) - at)
        at = max(at, b)
    return max(longest, end - at)
