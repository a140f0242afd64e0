"""More of the policy's choices, and failures found in larger runs, reproduced without the bench."""

from __future__ import annotations

import pytest

from tests.ledger import settings
from tests.test_choices import LIFETIME_US, MS, Router, places, sends
from yardspindle import interface as i


def test_cell_with_few_writers_writes_elsewhere_in_part() -> None:
    """In cells with five readers and one writer the writer filled up, unseen by any router, while others idled."""
    router = Router("rrrwrwww", "00001111", instances=100)
    cells = [0, 0]
    for at in range(200):
        cells[places(router.request(prefix=f"p{at}"))[0] > 4] += 1
        router.feed(i.Hangup(router.last_request))
    assert 25 < cells[0] < 80  # one writer in four is there


@pytest.mark.parametrize("instances", [1, 2, 100])
def test_cold_writer_gets_the_part_that_it_can_do(instances: int) -> None:
    """One send per router and interval, from dozens of routers, overloaded cold servers."""
    router = Router("rw", instances=instances)
    router.set_state(2, i.State.SERVING, since=router.now)
    sent = 0
    for _ in range(300):
        if places(router.request()):
            sent += 1
        router.feed(i.Hangup(router.last_request))
    assert 300 * 0.1 < sent < 300 * 0.35  # a cold server starts at 0.3 of its capacity
    router.now += 5_000 * MS
    assert places(router.request())


def test_dead_servers_are_not_hammered_though_all_are_dead() -> None:
    """Incident i39931b: every writer refused connections, and each request tried all of them."""
    router = Router("rww")
    writer_attempts = 0
    for _ in range(6):
        acts = router.request()
        while sends(acts):
            server = sends(acts)[0]
            writer_attempts += server != 1
            attempt = router.policy.open_requests[router.last_request].attempts - 1
            status = i.Status.READ if server == 1 else i.Status.CONNECT_FAILED
            acts = router.end_attempt(router.last_request, attempt, server, status)
    assert writer_attempts == 2


def test_answer_after_failed_connections_is_taken_for_a_fresh_start() -> None:
    """Writers that restarted before the list reported it got full traffic and fell over."""
    router = Router("rw")
    router.request()
    router.end_attempt(1, 0, 1, i.Status.READ)
    router.end_attempt(1, 1, 2, i.Status.CONNECT_FAILED)
    writer = router.policy.servers[2]
    router.advance(2_000)
    while 2 not in sends(
        router.end_attempt(router.last_request, 0, 1, i.Status.READ) if sends(router.request()) else []
    ):
        router.feed(i.Hangup(router.last_request))
    router.feed(i.First(router.last_request, 1, 2, 10 * MS))
    assert writer.started_us == router.now and router.policy._warmth(writer) < 1


def test_what_waits_is_tried_in_order_of_worth() -> None:
    classes = (i.RequestClass("safe", 1_000_000, 5_000_000), i.RequestClass("dear", 1_000_000, 5_000_000, worth=3.0))
    router = Router("rw", classes=classes)
    for cls in ("safe", "safe", "dear"):  # the first is read, the others wait
        router.request(cls)
    router.end_attempt(1, 0, 1, i.Status.RESET)
    router.policy.servers[1].failures, router.policy.servers[1].ejected_until_us = 0, 0
    assert [a.request for a in router.advance(20) if isinstance(a, i.Send)][:1] == [3]


def test_list_is_watched_where_it_is_not_pushed() -> None:
    router = Router("rw", list_pushed=False)
    assert i.Watch(True) in router.feed(i.Members(i.ListKind.FAILED, 1, ()))
    assert sends(router.request()) == [1]  # the last list stays in use
    assert not Router("rw").feed(i.Members(i.ListKind.STALE, 1, ()))


def test_restart_voids_ejections() -> None:
    router = Router("rw")
    router.request()
    router.end_attempt(1, 0, 1, i.Status.RESET)
    router.set_state(1, i.State.SERVING, since=router.now)
    assert router.policy.servers[1].failures == 0


def test_read_that_ends_when_its_whole_cell_is_gone() -> None:
    """Found by the ledger: the choice of a writer failed when the state's cell had left the list."""
    router = Router("rwrw", "0011")
    reader = sends(router.request())[0]
    for server in (reader, reader + 1):
        router.set_state(server, i.State.GONE)
    assert sends(router.end_attempt(1, 0, reader, i.Status.READ)) == [4 if reader == 1 else 2]


@pytest.mark.parametrize("instances", [1, 2, 300])
@pytest.mark.parametrize(("fleet", "cells"), [("rw", "01"), ("rrww", "0011"), ("m", "0"), ("rrw", "010")])
def test_odd_fleets_are_served_at_any_number_of_routers(fleet: str, cells: str, instances: int) -> None:
    """Cells without a writer or reader, or a memory share smaller than one prompt, cause no refusal."""
    tenants = (i.Tenant("none", 0.0, 0.0),)
    router = Router(fleet, cells, instances=instances, tenants=tenants, over_share_worth=0.0)
    assert sends(router.request(prompt=20_000.0))


@pytest.mark.parametrize("instances", [2, 100])
def test_memory_bounds_the_work_of_a_router(instances: int) -> None:
    """Without a bound routers accepted more than the writers could hold, and all answers were late."""
    router = Router("r" * 8 + "w" * 8, instances=instances)
    router.policy.last_place_refused_us = router.now
    held = 0
    for at in range(400):
        held += len(places(router.request(prompt=3_000.0, prefix=f"p{at}")))
        for server in router.policy.servers.values():
            server.pending_tokens = 0.0
    assert 1 <= held <= max(1, 0.9 * 8 * 50_000 / instances / 3_000)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("me", 5),
        ("instances", 0),
        ("start_capacity", 0.0),
        ("classes", ()),
        ("kinds", ()),
        ("release_us", 0),
        ("max_attempts", 0),
    ],
)
def test_invalid_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_a_read_that_got_lost_on_its_way_is_made_again_once_a_later_one_was_answered() -> None:
    """A lost read was awaited until the deadline, and its reader counted as overloaded all that time."""
    router = Router("rw", cancel=True)
    router.request()
    router.end_attempt(1, 0, 1, i.Status.READ)  # so that the reader's speed is known
    router.feed(i.Hangup(1))
    router.request(session="lost")
    assert not [a for a in router.advance(300) if isinstance(a, i.Cancel)], "no later read was answered yet"
    acts = router.request(session="trial")
    assert sends(acts) == [1], "the reader gets a trial although a read is overdue there"
    router.now += 100 * MS
    router.end_attempt(3, 0, 1, i.Status.READ)
    acts = router.advance(400)
    assert i.Cancel(2, 0) in acts and [a for a in acts if isinstance(a, i.Send) and a.request == 2]
    assert not router.end_attempt(2, 0, 1, i.Status.CANCELLED)
    assert sends(router.end_attempt(2, 1, 1, i.Status.READ)) == [2]


def test_a_read_that_nobody_overtook_is_waited_for() -> None:
    """Reads that were repeated when a reader was overloaded kept it overloaded."""
    router = Router("rw", cancel=True)
    router.request()
    assert not [a for a in router.advance(2_500) if isinstance(a, i.Cancel | i.Send)]


def test_an_overdue_read_does_not_hold_its_readers_bound() -> None:
    """A lost read of a long prompt used up each reader's bound: every request waited and was refused."""
    router = Router("rw")
    router.request()
    router.end_attempt(1, 0, 1, i.Status.READ)
    router.feed(i.Hangup(1))
    router.request(prompt=5_000.0, session="lost")
    assert router.policy.servers[1].pending_tokens > 0
    router.advance(2_000)
    assert router.policy.servers[1].pending_tokens == 0


def test_an_unsafe_write_that_got_lost_is_not_made_again() -> None:
    router = Router("rw", cancel=True)
    router.request("once")
    router.end_attempt(1, 0, 1, i.Status.READ)
    router.request()
    router.now += 100 * MS
    router.end_attempt(2, 0, 1, i.Status.READ)
    router.feed(i.First(2, 1, 2, 10 * MS))
    assert not [a for a in router.advance(2_500) if getattr(a, "request", 0) == 1 and not isinstance(a, i.Fail)]


def test_a_reset_connection_ejects_nobody_and_a_reset_alone_makes_no_server_cold() -> None:
    """Resets of pooled connections got most of a warm fleet ejected and counted as freshly started."""
    router = Router("rw")
    reader = router.policy.servers[1]
    for number, (status, stale, failures) in enumerate(
        [(i.Status.RESET, True, 0), (i.Status.CONNECT_FAILED, True, 0), (i.Status.RESET, False, 1)], 1
    ):
        assert sends(router.request()) == [1]
        router.feed(i.Outcome(number, 0, 1, status, 1 * MS, False, stale=stale))
        assert reader.failures == failures
        router.feed(i.Hangup(number))
    assert router.policy._warmth(reader) == 1
    router.advance(300)
    router.request()
    router.end_attempt(4, 0, 1, i.Status.READ)
    assert reader.failures == 0 and router.policy._warmth(reader) == 1


def test_readers_of_the_own_zone_draw_more_keys_where_attempts_across_zones_cost() -> None:
    """With two zones half of all attempts crossed between them, even without any fault."""

    def near(price: float) -> float:
        router = Router("rrrrrrww", cross_zone_price=price)
        router.feed(
            i.Members(
                i.ListKind.COMPLETE,
                2,
                tuple(i.Entry(e.server, "ab"[e.server % 2], e.kind, 0, e.state, 1.0) for e in router.entries),
            )
        )
        homes = [router.home_reader(prefix=f"p{n}") for n in range(200)]
        return sum(router.policy.servers[home].entry.zone == router.policy.settings.zone for home in homes) / 200

    assert abs(near(0.0) - 0.5) < 0.1 and abs(near(0.02) - 0.8) < 0.1


@pytest.mark.parametrize("resumed", [False, True])
def test_the_rest_of_a_broken_stream_waits_where_a_new_request_is_refused(resumed: bool) -> None:
    """When a dispatcher ended, a newly started one got all its streams at once and refused half of them."""
    router = Router("rw")
    router.request()  # the only reader is busy
    router.feed(i.Request(2, "safe", router.now + LIFETIME_US, 500.0, prefix="p", session="t", resumed=resumed))
    refused = [a for a in router.advance(1_000) if isinstance(a, i.Refuse) and a.request == 2]
    assert bool(refused) is not resumed
    if resumed:
        assert 1 in sends(router.end_attempt(1, 0, 1, i.Status.READ)) + sends(router.advance(40))
        assert 2 in router.policy.open_requests


@pytest.mark.parametrize("breaks", [False, True])
def test_a_late_reader_gets_a_trial_only_where_connections_are_seen_to_break(breaks: bool) -> None:
    """Trials find lost reads; where none were lost, they fed readers that hung or were busy with a long prompt."""
    router = Router("rrw")
    reader = sends(router.request())[0]
    router.policy.max_read_rate = 0.02
    if breaks:
        router.feed(i.Outcome(98, 0, 3, i.Status.CONNECT_FAILED, MS, False, stale=True))
    router.advance(1_500)
    assert sends(router.request()) == [reader if breaks else 3 - reader]


@pytest.mark.parametrize("cls", ["safe", "once"])
def test_a_writer_without_a_word_while_a_state_was_held_is_left_for_a_while(cls: str) -> None:
    """Writes went on to unresponsive writers, and each state was held there until its client's deadline."""
    router = Router("rww")
    router.request(cls=cls)
    (writer,) = sends(router.end_attempt(1, 0, 1, i.Status.READ))
    acts = router.end_attempt(1, 1, writer, i.Status.TIMEOUT, note=1)
    if cls == "safe":
        assert sends(acts) == [1] and writer not in places(acts)  # read again, to be written elsewhere
    else:
        assert sends(acts) == [] and any(isinstance(act, i.Fail) for act in acts)  # it may have run
    assert writer not in places(router.request())


def test_a_read_called_off_with_a_silent_place_is_tried_without_either() -> None:
    router = Router("rrww")
    acts = router.request()
    (reader,), (writer,) = sends(acts), places(acts)
    again = router.end_attempt(1, 0, reader, i.Status.CANCELLED)
    assert sends(again) == [3 - reader] and places(again) == [7 - writer]
