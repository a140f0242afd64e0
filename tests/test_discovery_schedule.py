"""The schedule of calls to discovery: which calls begin, which are cut off, and which go on being heard."""

from __future__ import annotations

import pytest

from yardspindle.core.hosts.discovery_schedule import DiscoveryCall, DiscoverySchedule, Query, Step
from yardspindle.core.request import timeouts as t

REVISION = 5
MS = 1_000


class Timeline:
    """A schedule and its calls; time passes in `until`."""

    def __init__(self) -> None:
        self.schedule = DiscoverySchedule()
        self.now_us = 0
        self.begun: list[DiscoveryCall] = []
        self.open: list[DiscoveryCall] = []
        self.follow(self.schedule.advance(self.now_us, REVISION))

    def follow(self, step: Step) -> None:
        self.open = [call for call in self.open if call not in step.cut_off]
        if step.begin is not None:
            self.begun.append(step.begin)
            self.open.append(step.begin)

    def until(self, at_us: int) -> None:
        """Let time pass, with no answers."""
        while (next_us := self.schedule.next_event_us()) <= at_us:
            self.now_us = max(next_us, self.now_us)
            self.follow(self.schedule.advance(self.now_us, REVISION))
        self.now_us = at_us

    def end(self, call: DiscoveryCall, step: Step) -> None:
        self.open.remove(call)
        self.follow(step)
        self.until(self.now_us)

    def apply(self, call: DiscoveryCall, went_back: bool = False) -> None:
        self.end(call, self.schedule.applied(call, self.now_us, changed=False, went_back=went_back))

    def reject(self, call: DiscoveryCall) -> None:
        self.end(call, self.schedule.rejected(call, self.now_us))


def watching() -> Timeline:
    """The first list was answered at once, and a watch has begun."""
    timeline = Timeline()
    timeline.apply(timeline.begun[0])
    assert [call.query for call in timeline.open] == [Query.WATCH]
    return timeline


def slow() -> Timeline:
    """A watch was answered a second late, and the next one has begun."""
    timeline = watching()
    timeline.until(t.WATCH_WAIT_US + 1_000 * MS)
    timeline.apply(timeline.open[0])
    assert timeline.open[-1].query is Query.WATCH and timeline.open[-1].began_us == timeline.now_us
    return timeline


def test_a_late_call_goes_on_while_calls_for_changes_are_made_beside_it() -> None:
    timeline = watching()
    watch = timeline.open[0]
    timeline.until(t.WATCH_WAIT_US + t.AGENT_RESPONSE_US)
    assert timeline.open == [watch, timeline.begun[-1]] and timeline.begun[-1].query is Query.CHANGES
    before = len(timeline.begun)
    timeline.until(timeline.now_us + 2_300 * MS)
    assert len(timeline.begun) - before == 10 and watch in timeline.open  # one each 0.22 s, as when an agent is down


def test_calls_that_are_heard_begin_no_further_apart_than_the_spacing_and_end_at_their_limit() -> None:
    timeline = watching()
    for at_us in range(0, 20_000 * MS, 100 * MS):
        timeline.until(at_us)
        covered = [call.covered_us for call in timeline.open]
        begins = [call.began_us for call in timeline.open[1:]]
        assert all(begun - told <= t.CALL_SPACING_US for told, begun in zip(covered, begins, strict=False))
        assert len(timeline.open) <= 8
        assert all(at_us < call.began_us + call.wait_us + t.LIST_UPDATE_LIMIT_US for call in timeline.open)
    assert timeline.open[0].began_us > 13_000 * MS


def test_an_answer_cuts_off_older_calls_and_no_newer_ones() -> None:
    timeline = watching()
    timeline.until(4_000 * MS)
    older, answered, newer = timeline.open[:2], timeline.open[2], timeline.open[3]
    timeline.apply(answered)
    assert not set(older) & set(timeline.open) and newer in timeline.open
    assert timeline.open[-1].query is Query.WATCH


def test_an_answer_that_took_the_revision_back_cuts_off_all_other_calls() -> None:
    timeline = watching()
    timeline.until(4_000 * MS)
    timeline.apply(timeline.open[1], went_back=True)
    assert [call.query for call in timeline.open] == [Query.WATCH]


def test_an_answer_to_a_late_call_leaves_the_watch_that_waits() -> None:
    timeline = watching()
    timeline.until(4_000 * MS)
    timeline.apply(timeline.open[0])
    watch, (older, late) = timeline.open[-1], timeline.open[:2]
    timeline.apply(late)
    assert timeline.open[-1] is watch and timeline.begun[-1] is watch and older not in timeline.open


def test_a_watch_of_a_slow_agent_is_followed_within_the_spacing_whatever_its_answer_does() -> None:
    timeline = slow()
    watch = timeline.open[-1]
    watch.head_us = watch.began_us + t.SLOW_WATCH_WAIT_US + t.AGENT_RESPONSE_US - 1 * MS
    timeline.until(watch.began_us + t.CALL_SPACING_US)
    assert timeline.begun[-1] is not watch and watch in timeline.open
    assert timeline.begun[-1].began_us - watch.began_us <= t.CALL_SPACING_US


def test_a_watch_waits_as_long_as_before_once_the_agent_is_sound_again() -> None:
    timeline = slow()
    assert timeline.open[-1].wait_us == t.SLOW_WATCH_WAIT_US
    timeline.until(timeline.now_us + t.SLOW_WATCH_WAIT_US)
    timeline.apply(timeline.open[-1])
    assert timeline.open[-1].wait_us == t.WATCH_WAIT_US


def test_changes_that_were_rejected_are_followed_by_the_full_list_at_once_and_then_with_a_pause() -> None:
    """Discovery restarted during an outage: its drains have to be heard within a drain's grace of its return."""
    timeline = watching()
    timeline.until(3_000 * MS)
    timeline.reject(timeline.begun[-1])
    full_list = timeline.begun[-1]
    assert full_list.query is Query.FULL_LIST and full_list.began_us == timeline.now_us
    timeline.apply(full_list)
    timeline.reject(timeline.begun[-1])
    before = len(timeline.begun)
    timeline.until(timeline.now_us + t.LIST_RECHECK_PAUSE_US - 1 * MS)
    assert len(timeline.begun) == before


def test_a_late_call_that_fails_or_is_rejected_delays_nothing() -> None:
    timeline = watching()
    timeline.until(4_000 * MS)
    current, late = timeline.begun[-1], timeline.open[:2]
    timeline.end(late[0], timeline.schedule.failed(late[0], timeline.now_us))
    timeline.reject(late[1])
    assert timeline.open[-1] is current and timeline.begun[-1] is current
    timeline.until(timeline.now_us + t.AGENT_RESPONSE_US + t.AGENT_RETRY_PAUSE_US)
    assert timeline.begun[-1].query is Query.FULL_LIST  # the rejected one may tell of a restart


def test_the_oldest_late_call_is_not_spared() -> None:
    timeline = watching()
    timeline.until(4_000 * MS)
    oldest, spared = timeline.open[0], []
    while (call := timeline.schedule.spare()) is not None:
        spared.append(call)
    assert len(spared) > 1 and oldest not in spared


@pytest.mark.parametrize(
    ("revision", "answered", "in_force", "outdated"),
    [(5, 5, 5, False), (5, 5, 6, True), (5, 6, 6, False), (5, 7, 6, False), (6, 2, 6, False), (7, 2, 3, True)],
)
def test_an_older_answer_is_outdated_if_the_list_has_changed_since_its_call(
    revision: int, answered: int, in_force: int, outdated: bool
) -> None:
    call = DiscoveryCall(1, Query.FULL_LIST, 0, revision, agent_is_slow=False)
    assert call.is_outdated(answered, in_force) == outdated
