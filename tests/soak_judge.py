"""Checks one dispatcher process of the soak test against the rules, from the records of hosts and clients."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tests.crossing_ledger import DECLINED, Attempt, Request
from tests.soak_streams import Disturbances, judge_streams

if TYPE_CHECKING:
    from tests.soak_parties import DispatcherRun
    from tests.soak_withheld import WithheldTime

END_NOTICE_DELAY_S = 0.02  # delay until a host's thread notices the end of a connection
DEADLINE_SLACK_S = 0.15  # slack that the platform's rules give for the remaining time stated in an attempt
RESUME_DELAY_S = 0.1  # after SIGCONT a host reads within this time what arrived while it was stopped
STEP_BY_STATUS = {200: "served", 410: "lost"} | dict.fromkeys(DECLINED, "declined")
EARLY_SHUTDOWN_S = 0.75  # SIGKILL may not leave a request unanswered that arrived later than this after SIGTERM
SETTLED_S = 1.0  # this long after its answer nothing is held for a request
Frozen = Sequence[tuple[str, float, float]]  # host, begin and end of each stop (SIGSTOP to SIGCONT)


def judge_run(run: DispatcherRun, rows: list[dict[str, Any]], died: list[dict[str, Any]], frozen: Frozen) -> list[str]:
    """Return every rule violation of one dispatcher process."""
    ledger = run.ledger
    excluded: set[bytes] = set()
    if run.killed is not None:  # clients retry what it had not answered by then
        _, settled_by, _ = ledger.withheld.reaction(run.name, run.killed, -1, SETTLED_S)
        excluded = {request.id for request in ledger.requests if not _answered_before(request, settled_by)}
        for request in ledger.requests:
            if not _answered_before(request, run.killed) and request.left_at is None:
                sent_at, crossed = request.sent_at or 0.0, request.sent_after_close  # crossed: with an idle close
                if (
                    ledger.sigterm_at is not None
                    and not crossed
                    and sent_at > ledger.sigterm_at + EARLY_SHUTDOWN_S + ledger.withheld_s(ledger.sigterm_at, sent_at)
                ):  # it arrived too long after SIGTERM to be left unanswered at SIGKILL
                    ledger.violations.append(
                        f"{request.id.decode()}: taken late after SIGTERM, and SIGKILL found it unanswered"
                    )
                request.left_at, request.answers = run.killed, []
    asked = {request.id for request in ledger.requests}
    ledger.draining_since = run.drains_reported
    attempts: dict[str, Attempt] = {}
    closed_at: dict[str, float] = {}  # when a host found an attempt's connection closed before the attempt's host did
    for row in sorted((row for row in rows if row["id"].encode() in asked), key=lambda row: float(row["at"])):
        _apply_row(run, row, attempts, closed_at, frozen)
        ledger.recorded_by[row["at"], row["id"].encode()] = row["host"]
    for death in died:  # a dead host loses its holds and running attempts
        for attempt in attempts.values():
            if attempt.host == death["host"] and attempt.received_at < death["at"] and (attempt.ended_at is None):
                # From the kill on the host may be dead, and a dispatcher may act on that before it is recorded.
                lost_at = max(death["earliest"], attempt.received_at)
                attempt.ended_at = _last_run_time(death["host"], lost_at, frozen)
                ledger.hold_changes.append((lost_at, "ended", attempt.id))
        ledger.hold_changes += [
            (death["at"], "died", number)
            for number in {a.id for a in attempts.values() if a.host == death["host"] and a.received_at < death["at"]}
        ]
    ledger.attempts = list(attempts.values())
    ended = (
        run.ended if run.ended is not None else math.inf
    )  # a place whose call a host reads after that is freed by the platform
    ledger.hold_changes = [
        (at, kind, number)
        for at, kind, number in ledger.hold_changes
        if number not in excluded and not (kind == "placed" and at > ended)
    ]
    disturbances = Disturbances(run.killed is not None or ledger.sigterm_at is not None, frozen)
    return ledger.judge() + judge_streams(ledger, rows, disturbances)


def _last_run_time(host: str, died: float, frozen: Frozen) -> float:
    """Return when a host that died last ran; one stopped at its death saw no connection end after the stop."""
    return min([begun for stopped, begun, to in frozen if stopped == host and begun <= died <= to], default=died)


def _answered_before(request: Request, by: float) -> bool:
    return bool(request.answers) and request.answers[0][1].whole and request.answers[0][0] < by


def _apply_row(
    run: DispatcherRun,
    row: dict[str, Any],
    attempts: dict[str, Attempt],
    closed_at: dict[str, float],
    frozen: Frozen,
) -> None:
    ledger, number, at = run.ledger, row["id"].encode(), row["at"]
    match row["what"]:
        case "taken":
            attempt = Attempt(  # DEADLINE_SLACK_S as its `stalled_s`, by which the ledger's deadline check is widened
                number, row["host"], row["role"], row["told"], row["first"], at, DEADLINE_SLACK_S, row["arrived"]
            )
            attempts[row["attempt"]] = attempt
            ledger.hold_changes.append((at, row["role"], number))
        case "stream":
            for other in (a for a in attempts.values() if a.id == number):
                other.events = b""  # a stream cancelled as it began reached no client
            attempts[row["attempt"]].events = row["events"].encode()
        case "over":
            attempt = attempts[row["attempt"]]
            attempt.ended_at, attempt.status, attempt.finished_at = (
                _earliest_end(row, frozen, ledger.withheld),
                row["how"],
                _latest_finish(row, frozen),
            )
            if not row["how"] or row.get("closed"):
                attempt.ended_at = min(attempt.ended_at, closed_at.get(row["attempt"], attempt.ended_at))
            kind = STEP_BY_STATUS.get(attempt.status, "ended")
            if attempt.role == "read":
                kind = "left" if row.get("left") else "ended"
            ledger.hold_changes.append((at, kind, number))
        case "placed" | "freed" as kind:
            ledger.hold_changes.append((at, kind, number))
        case "closed":
            closed_at.setdefault(row["attempt"], at)
        case "no place":
            ledger.on_place_refused(number)


def _earliest_end(row: dict[str, Any], frozen: Frozen, withheld: WithheldTime) -> float:
    """Return the earliest time of a recorded end; one seen just after a stop may have occurred during it."""
    at = float(row["at"])
    if row["how"] and not row.get("closed"):
        return at
    _, noticed_from, _ = withheld.reaction(row["host"], at, -1, RESUME_DELAY_S)
    begins = [begun for host, begun, to in frozen if host == row["host"] and begun <= at and noticed_from <= to]
    return min(begins, default=at if row["how"] else withheld.reaction(row["host"], at, -1, END_NOTICE_DELAY_S)[1])


def _latest_finish(row: dict[str, Any], frozen: Frozen) -> float | None:
    """Return when a stream's last chunk was sent at the latest: it is recorded first, and a stop may intervene."""
    at: float | None = row.get("finished")
    if at is None:
        return None
    return max(
        [at, *(to for host, begun, to in frozen if host == row["host"] and begun - END_NOTICE_DELAY_S <= at <= to)]
    )
