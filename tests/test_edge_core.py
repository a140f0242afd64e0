"""The edge's core against a planner that sends any actions and engines that give any answers.

The rule checker records independently what happened: it must find no violation for any drawn steps, and must find each
fault injected into the life cycle.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.engine_releases import ResourceKind
from yardspindle.core.request.records import EdgeRules

RULES = EdgeRules(
    effects={"safe": i.Effect.SAFE, "once": i.Effect.UNSAFE, "keyed": i.Effect.KEYED},
    release_us=300_000,
    drain_grace_us=100_000,
    answer_slack_us=40_000,
    retry_after_us=1_000_000,
    max_attempts=4,
    max_open_requests=6,
)
READER, READER2, WRITER, WRITER2, BOTH = 1, 2, 3, 4, 5
ROLES = {READER: i.Role.READ, READER2: i.Role.READ, WRITER: i.Role.WRITE, WRITER2: i.Role.WRITE, BOTH: i.Role.BOTH}


def fleet(draining: frozenset[int] = frozenset()) -> list[Server]:
    return [
        Server(
            n, f"s{n}", "127.0.0.1", 1000 + n, role, i.State.DRAINING if n in draining else i.State.SERVING, places=True
        )
        for n, role in ROLES.items()
    ]


def started_core() -> EdgeCore:
    core = EdgeCore(RULES)
    core.planner_up(0, 7)
    core.update_servers(0, fleet())
    return core


def make_request(number: int = 1, cls: str = "safe", expires_us: int = 1_000_000) -> i.Request:
    return i.Request(number, cls, expires_us, 100.0)


def commands_of(kind: type[Any], commands: list[c.Command]) -> list[Any]:
    return [command for command in commands if isinstance(command, kind)]


def finish_read(core: EdgeCore, number: int = 1, cls: str = "safe") -> None:
    core.request_arrived(0, make_request(number, cls))
    core.apply_action(0, 7, i.Send(number, READER))
    core.attempt_ended(10, number, 0, i.Status.READ, state={"x": 1})


# --- the normal path and known hard cases


def test_a_request_is_read_written_and_served() -> None:
    core = started_core()
    assert commands_of(c.NotifyPlanner, core.request_arrived(0, make_request()))[0].event == make_request()
    read = commands_of(c.Read, core.apply_action(0, 7, i.Send(1, READER)))[0]
    assert (read.attempt, read.deadline_us) == (0, 1_000_000)
    place = commands_of(c.ReservePlace, core.apply_action(0, 7, i.Ahead(1, WRITER)))[0]
    notifications = commands_of(c.NotifyPlanner, core.place_answered(5, 1, place.place, place.server, True))
    assert notifications[0].event == i.Note(1, 0, READER, True)
    notifications = commands_of(c.NotifyPlanner, core.attempt_ended(10, 1, 0, i.Status.READ, 3, {"x": 1}))
    assert notifications[0].event == i.Outcome(1, 0, READER, i.Status.READ, 10, False, 3)
    write = commands_of(c.Write, core.apply_action(10, 7, i.Send(1, WRITER)))[0]
    assert (write.state, write.place) == ({"x": 1}, place.place)
    begun, commands = core.first_token(20, 1, 1)
    assert begun and commands_of(c.NotifyPlanner, commands)[0].event == i.First(1, 1, WRITER, 10)
    commands = core.attempt_ended(30, 1, 1, i.Status.SERVED)
    assert commands_of(c.Answer, commands) == [c.Answer(1, c.Final.SERVED, "served", 0, True)]
    assert not commands_of(c.SendRelease, commands) and not core.lifecycle.requests


def test_a_client_that_hangs_up_while_waiting_for_its_state_leaves_nothing_behind() -> None:
    core = started_core()
    finish_read(core)
    core.apply_action(10, 7, i.Send(1, WRITER))
    commands = core.client_disconnected(20, 1)
    assert commands_of(c.Abort, commands) == [c.Abort(1, 1, fleet()[WRITER - 1], c.AbortReason.REQUEST_OVER)]
    assert [r.release.server.number for r in commands_of(c.SendRelease, commands)] == [READER]
    assert [type(sent.event) for sent in commands_of(c.NotifyPlanner, commands)] == [i.Hangup, i.Outcome]
    assert not commands_of(c.Answer, commands) and not core.lifecycle.requests


def test_an_unsafe_request_whose_writer_dies_is_one_failure_and_never_runs_again() -> None:
    core = started_core()
    finish_read(core, cls="once")
    core.apply_action(10, 7, i.Send(1, WRITER))
    assert not commands_of(c.Answer, core.attempt_ended(20, 1, 1, i.Status.RESET))
    second = core.apply_action(20, 7, i.Send(1, WRITER2))
    assert not commands_of(c.Write, second) and commands_of(c.Warn, second)[0].rule == "may have run"
    final = commands_of(c.Answer, core.apply_action(21, 7, i.Refuse(1, 5)))
    assert [(a.final, a.code) for a in final] == [(c.Final.FAILED, "may_have_run")]
    assert not core.apply_action(22, 7, i.Fail(1))


def test_an_unsafe_request_turned_away_may_be_sent_on() -> None:
    core = started_core()
    finish_read(core, cls="once")
    core.apply_action(10, 7, i.Send(1, WRITER))
    core.attempt_ended(20, 1, 1, i.Status.FULL)
    assert commands_of(c.Write, core.apply_action(20, 7, i.Send(1, WRITER2)))


def test_a_stream_that_breaks_is_a_failure_told_as_closed() -> None:
    core = started_core()
    finish_read(core)
    core.apply_action(10, 7, i.Send(1, WRITER))
    core.first_token(15, 1, 1)
    commands = core.attempt_ended(20, 1, 1, i.Status.RESET)
    assert commands_of(c.Answer, commands) == [c.Answer(1, c.Final.FAILED, "stream_broken", 0, True)]
    assert commands_of(c.NotifyPlanner, commands)[0].event.closed


def test_a_planner_that_says_nothing_gets_the_request_failed_in_time() -> None:
    core = started_core()
    core.request_arrived(0, make_request())
    assert not core.tick(1_030_000)
    assert commands_of(c.Answer, core.tick(1_041_000))[0].code == "deadline"


def test_what_is_held_with_a_silent_planner_is_let_go_in_time() -> None:
    core = started_core()
    finish_read(core)
    commands = core.tick(10 + 230_000)
    assert len(commands_of(c.SendRelease, commands)) == 1 and commands_of(c.Warn, commands)[0].rule == "held too long"
    late = core.apply_action(250_000, 7, i.Send(1, WRITER))
    assert not commands_of(c.Write, late)
    assert commands_of(c.NotifyPlanner, late)[0].event == i.Outcome(1, 1, WRITER, i.Status.FULL, 0, False, 1)


def test_what_was_let_go_of_is_not_warned_of_at_every_look_at_the_clock() -> None:
    core = started_core()
    core.request_arrived(0, make_request())
    core.apply_action(0, 7, i.Send(1, READER))
    core.apply_action(0, 7, i.Ahead(1, WRITER))
    core.attempt_ended(10, 1, 0, i.Status.FULL)
    core.apply_action(10, 7, i.Discard(1))
    assert not any(commands_of(c.Warn, core.tick(at)) for at in range(200_000, 500_000, 20_000))


def test_a_lost_planner_settles_each_request_by_what_is_out() -> None:
    core = started_core()
    for number, cls in ((1, "safe"), (2, "safe"), (3, "once"), (4, "once"), (5, "once")):
        core.request_arrived(0, make_request(number, cls))
    core.apply_action(0, 7, i.Send(2, READER))
    for number in (3, 4, 5):
        core.apply_action(0, 7, i.Send(number, READER))
        core.attempt_ended(5, number, 0, i.Status.READ, state={})
        core.apply_action(5, 7, i.Send(number, WRITER))
    core.first_token(6, 4, 1)
    core.attempt_ended(6, 5, 1, i.Status.RESET)
    commands = core.planner_down(10)
    answers = {a.request: (a.final, a.code) for a in commands_of(c.Answer, commands)}
    assert answers == {
        1: (c.Final.REFUSED, "planner_lost"),
        2: (c.Final.REFUSED, "planner_lost"),
        5: (c.Final.FAILED, "may_have_run"),
    }
    assert commands_of(c.Abort, commands) == [c.Abort(2, 0, fleet()[READER - 1], c.AbortReason.PLANNER_LOST)]
    core.planner_up(11, 8)
    assert not core.apply_action(12, 8, i.Fail(4)), "a later planner may not act on requests of an earlier one"
    assert commands_of(c.Answer, core.attempt_ended(20, 4, 1, i.Status.SERVED))[0].final is c.Final.SERVED
    assert commands_of(c.Answer, core.attempt_ended(20, 3, 1, i.Status.TIMEOUT))[0].final is c.Final.FAILED
    assert not core.lifecycle.requests


def test_without_a_planner_requests_are_refused_at_once_with_advice() -> None:
    core = EdgeCore(RULES)
    assert commands_of(c.Answer, core.request_arrived(0, make_request())) == [
        c.Answer(1, c.Final.REFUSED, "planner_lost", 1_000_000)
    ]


def test_more_than_it_may_hold_is_refused_at_once() -> None:
    core = started_core()
    for number in range(1, 7):
        assert not commands_of(c.Answer, core.request_arrived(0, make_request(number)))
    assert commands_of(c.Answer, core.request_arrived(0, make_request(7)))[0].code == "edge_full"


def test_nothing_new_goes_to_a_server_past_its_grace() -> None:
    core = started_core()
    core.update_servers(50, fleet(frozenset({READER})))
    core.request_arrived(60, make_request(1))
    assert commands_of(c.Read, core.apply_action(100_050, 7, i.Send(1, READER)))
    core.request_arrived(60, make_request(2))
    core.update_servers(90_000, fleet(frozenset({READER})))  # listed again: the first time counts
    commands = core.apply_action(100_051, 7, i.Send(2, READER))
    assert not commands_of(c.Read, commands) and commands_of(c.NotifyPlanner, commands)[0].event.status is i.Status.MOOT
    core.update_servers(100_060, [s for s in fleet() if s.number != READER2])
    assert not commands_of(c.Read, core.apply_action(200_061, 7, i.Send(2, READER2))), (
        "a server that left the list gets nothing"
    )


def test_a_place_granted_after_nobody_wants_it_is_let_go() -> None:
    core = started_core()
    core.request_arrived(0, make_request())
    core.apply_action(0, 7, i.Send(1, READER))
    place = commands_of(c.ReservePlace, core.apply_action(0, 7, i.Ahead(1, WRITER)))[0]
    second = commands_of(c.ReservePlace, core.apply_action(1, 7, i.Ahead(1, WRITER2)))[0]
    commands = core.place_answered(2, 1, place.place, place.server, True)
    assert [(r.release.number, r.release.server.number) for r in commands_of(c.SendRelease, commands)] == [
        (place.place, WRITER)
    ]
    core.apply_action(3, 7, i.Refuse(1))
    commands = core.place_answered(4, 1, second.place, second.server, None)
    assert [r.release.server.number for r in commands_of(c.SendRelease, commands)] == [WRITER2]


@pytest.mark.parametrize(
    ("status", "released"),
    [
        (None, True),
        (i.Status.CONNECT_FAILED, True),
        (i.Status.RESET, True),
        (i.Status.TIMEOUT, True),
        (i.Status.FULL, False),
        (i.Status.SERVED, False),
    ],
)
def test_a_place_whose_write_may_never_have_come_is_let_go(status: i.Status | None, released: bool) -> None:
    """Seed 191 of the virtual days: the client left before its write was sent, and the place stayed held."""
    core = started_core()
    core.request_arrived(0, make_request())
    core.apply_action(0, 7, i.Send(1, READER))
    place = commands_of(c.ReservePlace, core.apply_action(0, 7, i.Ahead(1, WRITER)))[0]
    core.place_answered(5, 1, place.place, place.server, True)
    core.attempt_ended(10, 1, 0, i.Status.READ, state={"x": 1})
    assert commands_of(c.Write, core.apply_action(10, 7, i.Send(1, WRITER)))[0].place == place.place
    commands = core.client_disconnected(20, 1) if status is None else core.attempt_ended(20, 1, 1, status)
    places = [r.release for r in commands_of(c.SendRelease, commands) if r.release.kind is ResourceKind.PLACE]
    assert [(release.number, release.server.number) for release in places] == [(place.place, WRITER)] * released


# --- drawn steps

steps = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from(["safe", "once", "keyed"]), st.integers(1, 400)),
    st.tuples(st.just("send"), st.integers(0, 5), st.sampled_from([*ROLES, 99])),
    st.tuples(st.just("ahead"), st.integers(0, 5), st.sampled_from([WRITER, WRITER2, READER])),
    st.tuples(st.just("act"), st.integers(0, 5), st.sampled_from(["refuse", "fail", "discard", "cancel"])),
    st.tuples(st.just("end"), st.integers(0, 5), st.sampled_from([*i.Status])),
    st.tuples(st.just("first"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("place"), st.integers(0, 5), st.sampled_from([True, False, None])),
    st.tuples(st.just("leave"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 200), st.just(0)),
    st.tuples(st.just("drain"), st.sampled_from([READER, WRITER]), st.just(0)),
    st.tuples(st.just("planner"), st.booleans(), st.just(0)),
    st.tuples(st.just("release"), st.booleans(), st.just(0)),
)


class CoreDriver:
    """Drives a core with drawn steps, and tracks the calls and answers as its I/O would."""

    def __init__(self) -> None:
        self.now = 0
        self.core = EdgeCore(RULES)
        self.epoch = 1
        self.request_numbers: list[int] = []
        self.in_flight: dict[tuple[int, int], bool] = {}  # attempts in flight, and whether the stream has begun
        self.places: list[c.ReservePlace] = []
        self.releases: list[c.SendRelease] = []
        self.answers: dict[int, int] = {}
        self.violations: list[c.ReportViolation] = []
        self.execute(self.core.planner_up(0, 1))
        self.execute(self.core.update_servers(0, fleet()))

    def execute(self, commands: list[c.Command]) -> None:
        for command in commands:
            if isinstance(command, (c.Read, c.Write)):
                self.in_flight[(command.request, command.attempt)] = False
            elif isinstance(command, c.Abort):
                del self.in_flight[(command.request, command.attempt)]
            elif isinstance(command, c.ReservePlace):
                self.places.append(command)
            elif isinstance(command, c.SendRelease):
                self.releases.append(command)
            elif isinstance(command, c.Answer):
                self.answers[command.request] = self.answers.get(command.request, 0) + 1
            elif isinstance(command, c.ReportViolation):
                self.violations.append(command)

    def end(self, key: tuple[int, int], status: i.Status) -> None:
        state: Any = {} if status is i.Status.READ else None
        self.execute(self.core.attempt_ended(self.now, key[0], key[1], status, 0, state))

    def request_at(self, at: int) -> int:
        return self.request_numbers[at % len(self.request_numbers)] if self.request_numbers else 1

    def advance_to(self, until: int) -> None:
        while self.now < until:
            self.now = min(self.now + 20_000, until)
            self.execute(self.core.tick(self.now))

    def step(self, kind: str, a: Any, b: Any) -> None:
        core, now = self.core, self.now
        match kind:
            case "arrive":
                self.request_numbers.append(len(self.request_numbers) + 1)
                self.execute(core.request_arrived(now, make_request(self.request_numbers[-1], a, now + b * 1_000)))
            case "send":
                self.execute(core.apply_action(now, self.epoch, i.Send(self.request_at(a), b)))
            case "ahead":
                self.execute(core.apply_action(now, self.epoch, i.Ahead(self.request_at(a), b)))
            case "act":
                number = self.request_at(a)
                actions: dict[str, i.Action] = {
                    "refuse": i.Refuse(number),
                    "fail": i.Fail(number),
                    "discard": i.Discard(number),
                    "cancel": i.Cancel(number, max((k[1] for k in self.in_flight if k[0] == number), default=0)),
                }
                self.execute(core.apply_action(now, self.epoch, actions[b]))
            case "end" if self.in_flight:
                key = list(self.in_flight)[a % len(self.in_flight)]
                streaming = self.in_flight.pop(key)
                status = b if not (streaming and b in (i.Status.READ, i.Status.FULL)) else i.Status.RESET
                self.end(key, status)
            case "first" if self.in_flight:
                key = list(self.in_flight)[a % len(self.in_flight)]
                if core.lifecycle.requests[key[0]].attempt.server.role is not i.Role.READ:  # type: ignore[union-attr]
                    begun, commands = core.first_token(now, *key)
                    self.execute(commands)
                    self.in_flight[key] = begun
            case "place" if self.places:
                reservation = self.places.pop(a % len(self.places))
                self.execute(core.place_answered(now, reservation.request, reservation.place, reservation.server, b))
            case "leave":
                self.execute(core.client_disconnected(now, self.request_at(a)))
            case "wait":
                self.advance_to(now + a * 1_000)
            case "drain":
                self.execute(core.update_servers(now, fleet(frozenset({a}))))
            case "planner":
                self.execute(core.planner_down(now))
                if a:
                    self.epoch += 1
                    self.execute(core.planner_up(now, self.epoch))
                    self.execute(core.update_servers(now, fleet()))
            case "release" if self.releases:
                self.execute(core.release_settled(now, self.releases.pop(0).release, a))

    def finish(self) -> None:
        """Complete every call without further faults, until nothing is in flight or held."""
        for key, streaming in list(self.in_flight.items()):
            if streaming:
                del self.in_flight[key]
                self.end(key, i.Status.SERVED)
        for reservation in self.places:
            self.execute(
                self.core.place_answered(self.now, reservation.request, reservation.place, reservation.server, True)
            )
        self.advance_to(self.now + 1_500_000)
        while self.releases:
            self.execute(self.core.release_settled(self.now, self.releases.pop(0).release, True))
            self.now += 1_000
            if not self.releases:
                self.advance_to(self.now + 2_000_000)
                self.execute(self.core._out(self.now, []))
