"""Answers for places and releases that cross with their time limits, at the real dispatcher.

The answer arrives before the limit, after it, or both become visible in one turn of the program's loop.
"""

from __future__ import annotations

from time import monotonic

import pytest

from tests.crossing_parties import Call, Client
from tests.crossings import RELEASE_S, TIMER_MARGIN_S, Stage
from yardspindle.core.request import timeouts
from yardspindle.core.request.held_resources import RELEASE_FRACTION

ORDERS = ("first", "second", "one turn")
RELEASE_CALL_S = timeouts.RELEASE_CALL_US / 1e6
MAX_HELD_S = RELEASE_FRACTION * RELEASE_S
OBSERVED_S = 0.1  # by then what the program did at the limit has reached the host


def answer_around_limit(stage: Stage, call: Call, status: int, order: str, bound_s: float) -> None:
    """Answers a call before its limit, after it (its connection has ended), or so that one turn finds both."""
    due = monotonic() + bound_s + TIMER_MARGIN_S
    match order:
        case "first":
            call.answer(status)
        case "second":
            call.wait_end()
            call.answer(status)
        case _:
            with stage.paused():
                stage.wait_until(due)
                call.answer(status)


def start_request(stage: Stage) -> Client:
    client = stage.client()
    client.ask("a")
    return client


def answer_releases_by_hand(stage: Stage) -> None:
    for host in stage.hosts:
        host.auto_answers.pop("free")


def answer_releases_automatically(stage: Stage) -> None:
    for host in stage.hosts:
        host.auto_answers["free"] = 204


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("reset", [False, True])
def test_a_release_is_answered_as_a_repeat_waits_for_it(stage: Stage, order: str, reset: bool) -> None:
    """A read failed: the next read waits for the release of what it may have left."""
    stage.reset(readers=2)
    answer_releases_by_hand(stage)
    client = start_request(stage)
    stage.wait_call("read", "a").disconnect(reset)
    free = stage.wait_call("free", "a")
    answer_releases_automatically(stage)
    answer_around_limit(stage, free, 204, order, RELEASE_CALL_S)
    stage.wait_call("read", "a").answer(202)
    stage.wait_call("write", "a").serve_stream()
    assert client.wait_answer().status == 200
    stage.check()


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("how", ["close", "rst"])
def test_a_release_is_answered_as_its_host_counts_as_silent(stage: Stage, order: str, how: str) -> None:
    answer_releases_by_hand(stage)
    client = start_request(stage)
    stage.wait_call("read", "a")
    client.disconnect(how)
    free = stage.wait_call("free", "a")
    answer_releases_automatically(stage)
    answer_around_limit(stage, free, 204, order, RELEASE_CALL_S)
    stage.check()


@pytest.mark.parametrize("how", ["none answers", "500", "fin", "rst"])
def test_what_is_held_is_let_go_of_though_the_first_host_asked_does_not_do_it(stage: Stage, how: str) -> None:
    stage.reset(readers=2, writers=2)
    answer_releases_by_hand(stage)
    client = start_request(stage)
    stage.wait_call("read", "a")
    client.disconnect("close")
    free = stage.wait_call("free", "a")
    answer_releases_automatically(stage)
    if how == "500":
        free.answer(500)
    elif how != "none answers":
        free.disconnect(reset=how == "rst")
    stage.wait_for("another release", lambda: sum(kind == "freed" for _, kind, _ in stage.ledger.hold_changes) > 1)
    stage.check()


@pytest.mark.parametrize("status", [200, 204, 409])
@pytest.mark.parametrize("order", ORDERS)
def test_a_place_is_answered_as_it_is_waited_for_no_more(stage: Stage, order: str, status: int) -> None:
    """Without an answer that the read runs, its place may be held: the read is cancelled in time and retried."""
    stage.reset(readers=2, writers=2, places=None)
    client = start_request(stage)
    read, place = stage.wait_call("read", "a"), stage.wait_call("place", "a")
    due = monotonic() + MAX_HELD_S + TIMER_MARGIN_S
    if order == "second":
        read.wait_end()
        place.answer(status)
    elif order == "first":
        place.answer(status)
    else:
        with stage.paused():
            stage.wait_until(due)
            place.answer(status)
    for host in stage.hosts:
        host.auto_answers["place"] = 200  # if it is requested again
    stage.wait_until(due + OBSERVED_S)
    if order != "one turn":  # a 204 confirms no more than no answer does
        assert bool(read.end) is (order == "second" or status == 204)
    if not read.end:
        read.answer(202)
    stage.serve_until_answered(client)
    assert client.wait_answer().status == 200
    stage.check()
