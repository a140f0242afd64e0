"""Crossings with the bounds of places and releases at the real dispatcher: before, after, and both in one turn."""

from __future__ import annotations

from time import monotonic

import pytest

from tests.crossing_parties import Call, Client
from tests.crossings import DUE_S, RELEASE_S, Stage
from yardspindle.core.request import timeouts
from yardspindle.core.request.held_resources import RELEASE_FRACTION

ORDERS = ("first", "second", "one turn")
FREE_S = timeouts.RELEASE_CALL_US / 1e6
HELD_S = RELEASE_FRACTION * RELEASE_S
SEEN_S = 0.1  # by then what was due is seen at the host


def answered(stage: Stage, call: Call, status: int, order: str, bound_s: float) -> None:
    """A call is answered before its bound, after it (its connection has ended), or as both are found in one turn."""
    due = monotonic() + bound_s + DUE_S
    match order:
        case "first":
            call.answer(status)
        case "second":
            call.ended()
            call.answer(status)
        case _:
            with stage.stopped():
                stage.at(due)
                call.answer(status)


def asks(stage: Stage) -> Client:
    client = stage.client()
    client.ask("a")
    return client


def by_hand(stage: Stage) -> None:
    for host in stage.hosts:
        host.auto.pop("free")


def by_itself(stage: Stage) -> None:
    for host in stage.hosts:
        host.auto["free"] = 204


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("reset", [False, True])
def test_a_release_is_answered_as_a_repeat_waits_for_it(stage: Stage, order: str, reset: bool) -> None:
    """A read broke: what it may have left is let go of, and the next read begins meanwhile."""
    stage.fresh(readers=2)
    by_hand(stage)
    client = asks(stage)
    stage.call("read", "a").leave(reset)
    free = stage.call("free", "a")
    by_itself(stage)
    answered(stage, free, 204, order, FREE_S)
    stage.call("read", "a").answer(202)
    stage.call("write", "a").serve()
    assert client.answer().status == 200
    stage.check()


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("how", ["close", "rst"])
def test_a_release_is_answered_as_its_host_counts_as_silent(stage: Stage, order: str, how: str) -> None:
    by_hand(stage)
    client = asks(stage)
    stage.call("read", "a")
    client.leave(how)
    free = stage.call("free", "a")
    by_itself(stage)
    answered(stage, free, 204, order, FREE_S)
    stage.check()


@pytest.mark.parametrize("how", ["none answers", "500", "fin", "rst"])
def test_what_is_held_is_let_go_of_though_the_first_host_asked_does_not_do_it(stage: Stage, how: str) -> None:
    stage.fresh(readers=2, writers=2)
    by_hand(stage)
    client = asks(stage)
    stage.call("read", "a")
    client.leave("close")
    free = stage.call("free", "a")
    by_itself(stage)
    if how == "500":
        free.answer(500)
    elif how != "none answers":
        free.leave(reset=how == "rst")
    stage.until("another word", lambda: sum(kind == "freed" for _, kind, _ in stage.ledger.moves) > 1)
    stage.check()


@pytest.mark.parametrize("status", [200, 204, 409])
@pytest.mark.parametrize("order", ORDERS)
def test_a_place_is_answered_as_it_is_waited_for_no_more(stage: Stage, order: str, status: int) -> None:
    """While nothing says that the read runs anywhere a place may be held: it is called off in time and read again."""
    stage.fresh(readers=2, writers=2, places=None)
    client = asks(stage)
    read, place = stage.call("read", "a"), stage.call("place", "a")
    due = monotonic() + HELD_S + DUE_S
    if order == "second":
        read.ended()
        place.answer(status)
    elif order == "first":
        place.answer(status)
    else:
        with stage.stopped():
            stage.at(due)
            place.answer(status)
    for host in stage.hosts:
        host.auto["place"] = 200  # should it be asked once more
    stage.at(due + SEEN_S)
    if order != "one turn":  # a 204 says no more than silence
        assert bool(read.end) is (order == "second" or status == 204)
    if not read.end:
        read.answer(202)
    stage.play(client)
    assert client.answer().status == 200
    stage.check()
