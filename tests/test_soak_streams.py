"""The soak's judge finds clients that wait too long for a spoilt stream's end, and slow streams that are cut off."""

from __future__ import annotations

from typing import Any

import pytest

from tests.crossing_ledger import Ledger, make_request
from tests.crossing_messages import EVENT, Message
from tests.soak_streams import WAIT_LIMIT_S, Disturbances, judge_streams

UNDISTURBED = Disturbances(ended=False, frozen=())
OVER_S = 0.1


def ledger(answered_at: float, status: int = 200, whole: bool = False, left_at: float | None = None) -> Ledger:
    found = Ledger(0.3, 0.25, lambda: 0.0)
    request = make_request("a")
    request.sent_at, request.left_at = 1.0, left_at
    request.answers.append((answered_at, Message(b"HTTP/1.1 %d x" % status, {}, EVENT, whole)))
    found.requests.append(request)
    return found


def spoilt(since: float) -> dict[str, Any]:
    return {"what": "spoilt", "id": "a", "host": "writer-0", "at": since, "since": since, "form": "zeros"}


def cut(begun: float, at: float, reset: bool = False) -> dict[str, Any]:
    return {"what": "slow stream cut", "id": "a", "host": "writer-0", "at": at, "begun": begun, "reset": reset}


def test_a_client_that_waits_too_long_is_found() -> None:
    found = judge_streams(ledger(2.0 + WAIT_LIMIT_S + OVER_S), [spoilt(2.0)], UNDISTURBED)
    assert found == ["a: left waiting for 5.10 s after the last event (zeros)"]


def test_a_slow_stream_that_is_cut_is_found() -> None:
    assert judge_streams(ledger(4.0), [cut(2.0, 4.0)], UNDISTURBED) == ["a: a slow stream cut while its host writes"]


@pytest.mark.parametrize(
    ("seen", "row", "disturbances"),
    [
        (ledger(2.0 + WAIT_LIMIT_S - OVER_S), spoilt(2.0), UNDISTURBED),
        (ledger(9.0, left_at=9.0), spoilt(2.0), UNDISTURBED),
        (ledger(9.0, whole=True), spoilt(2.0), UNDISTURBED),
        (ledger(9.0, status=503), spoilt(2.0), UNDISTURBED),
        (ledger(4.0), cut(2.0, 4.0, reset=True), UNDISTURBED),
        (ledger(4.0), cut(2.0, 4.0), Disturbances(ended=True, frozen=())),
        (ledger(4.0), cut(2.0, 4.0), Disturbances(ended=False, frozen=[("writer-0", 3.0, 3.5)])),
        (ledger(4.0, status=504), cut(2.0, 4.0), UNDISTURBED),
    ],
)
def test_what_the_rules_allow_is_no_violation(seen: Ledger, row: dict[str, Any], disturbances: Disturbances) -> None:
    assert judge_streams(seen, [row], disturbances) == []


def test_a_stop_of_another_host_or_at_another_time_excuses_no_cut() -> None:
    frozen = [("writer-1", 3.0, 3.5), ("writer-0", 0.5, 1.0), ("writer-0", 5.0, 6.0)]
    assert judge_streams(ledger(4.0), [cut(2.0, 4.0)], Disturbances(ended=False, frozen=frozen))
