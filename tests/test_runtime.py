"""Scheduler, timers, channels and the real World's sockets."""

from __future__ import annotations

import random
import resource

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Cancelled, Closed, DeadlineExceeded, Task
from yardspindle.runtime.timers import TICK_US, Timers


def world() -> RealWorld:
    return RealWorld(seed=1)


# --- timers


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 50_000), st.booleans()), max_size=80), st.integers(0, 60_000))
def test_timers_fire_as_a_sorted_list_would(drawn: list[tuple[int, bool]], now: int) -> None:
    timers, fired = Timers(), []
    handles = [
        (due, keep, timers.set(due, lambda n=n: fired.append(n)))  # type: ignore[misc]
        for n, (due, keep) in enumerate(drawn)
    ]
    for _, keep, handle in handles:
        if not keep:
            handle.cancel()
    ticks = [(-(-due // TICK_US), n) for n, (due, keep) in enumerate(drawn) if keep]
    assert timers.next_due_us() == (min(ticks)[0] * TICK_US if ticks else None)
    for callback in timers.pop_due(now):
        callback()
    assert fired == [n for tick, n in sorted(ticks) if tick * TICK_US <= now]
    assert len(timers) == len(ticks) - len(fired)


def test_cancelled_timers_leave_at_most_their_tick() -> None:
    timers = Timers()
    for number in range(50_000):
        timers.set(5_000_000 + number % 1_000, int).cancel()  # type: ignore[arg-type]
    assert len(timers) == 0 and timers.heap_size <= 2


# --- tasks


def test_tasks_join_and_errors_reach_who_joins() -> None:
    w = world()

    def fails() -> None:
        raise KeyError("lost?")

    def main() -> str:
        assert w.spawn("ok", lambda: 5).join() == 5
        with pytest.raises(KeyError):
            w.spawn("bad", fails).join()
        return "done"

    assert w.run("main", main) == "done"


def test_an_error_that_nobody_joins_reaches_the_crash_hook() -> None:
    w, seen = world(), []
    w.scheduler.on_crash = lambda task, error: seen.append((task.name, str(error)))

    def fails() -> None:
        raise ValueError("x")

    def main() -> None:
        w.spawn("lonely", fails)
        w.sleep_until(w.now_us() + 2_000)

    w.run("main", main)
    assert seen == [("lonely", "x")]
    plain = world()

    def spawns() -> None:
        plain.spawn("lonely", fails)
        plain.sleep_until(plain.now_us() + 2_000)

    with pytest.raises(RuntimeError, match="lonely"):
        plain.run("main", spawns)


def test_cancel_reaches_a_waiting_a_ready_and_an_unstarted_task() -> None:
    w, log = world(), []

    def waits(name: str) -> None:
        try:
            log.append(f"{name} starts")
            w.signal().wait()
        except Cancelled:
            log.append(f"{name} cancelled")
            raise

    def main() -> None:
        first = w.spawn("a", waits, "a")
        w.scheduler.yield_now()
        unstarted = w.spawn("b", waits, "b")
        first.cancel()
        unstarted.cancel()
        first.join()
        unstarted.join()
        assert first.done and unstarted.done

    w.run("main", main)
    assert log == ["a starts", "a cancelled"]


def test_what_is_left_at_the_end_is_cancelled() -> None:
    w, ended = world(), []

    def forever() -> None:
        try:
            w.signal().wait()
        finally:
            ended.append(True)

    def main() -> None:
        w.spawn("f", forever)
        w.scheduler.yield_now()

    w.run("main", main)
    assert ended == [True] and not w.scheduler.tasks


def test_deadlines_nest_and_a_late_one_is_forgotten() -> None:
    w = world()

    def main() -> None:
        now = w.now_us()
        with pytest.raises(DeadlineExceeded), w.deadline(now + 100_000_000) as outer, w.deadline(now + 2_000) as inner:
            w.signal().wait()
        assert inner.passed and not outer.passed
        with w.deadline(w.now_us() + 1_000_000):
            w.sleep_until(w.now_us() + 1_000)
        w.sleep_until(w.now_us() + 3_000)

    w.run("main", main)


def test_a_task_that_nothing_can_wake_is_named() -> None:
    w = world()
    with pytest.raises(RuntimeError, match="deadlock.*main"):
        w.run("main", w.signal().wait)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 4), st.lists(st.integers(), max_size=40), st.integers(0, 2**32))
def test_channels_keep_order_and_bound(capacity: int, items: list[int], seed: int) -> None:
    w, got, draw = world(), [], random.Random(seed)

    def main() -> None:
        channel = w.channel(capacity)

        def produce() -> None:
            for item in items:
                channel.put(item)
                if draw.random() < 0.5:
                    w.scheduler.yield_now()
            channel.close()

        w.spawn("producer", produce)
        try:
            while True:
                got.append(channel.get())
                assert len(channel) <= capacity
                if draw.random() < 0.5:
                    w.scheduler.yield_now()
        except Closed:
            pass

    w.run("main", main)
    assert got == items


def test_an_item_is_not_lost_with_a_cancelled_getter() -> None:
    w = world()

    def main() -> None:
        channel, got = w.channel(1), []
        first = w.spawn("first", lambda: got.append(("first", channel.get())))
        second = w.spawn("second", lambda: got.append(("second", channel.get())))
        w.scheduler.yield_now()
        first.cancel()
        channel.put(1)
        second.join()
        assert got == [("second", 1)]
        third = w.spawn("third", lambda: got.append(("third", channel.get())))
        w.scheduler.yield_now()
        channel.put(2)
        third.cancel()  # too late: the item was already handed over
        third.join()
        assert got[1:] == [("third", 2)]

    w.run("main", main)


def test_random_streams_depend_on_seed_and_name_alone() -> None:
    assert RealWorld(5).random("a").random() == RealWorld(5).random("a").random()
    assert RealWorld(5).random("a").random() != RealWorld(5).random("b").random()


def test_task_names_are_kept() -> None:
    w = world()
    names: list[str] = []
    w.run("main", lambda: names.append(w.current().name))
    assert names == ["main"] and isinstance(w.spawn("later", int), Task)


@pytest.mark.parametrize("limit,max_descriptors", [(40, 40), (resource.RLIM_INFINITY, 1 << 20)])
def test_no_bound_on_descriptors_is_not_taken_for_a_small_one(
    monkeypatch: pytest.MonkeyPatch, limit: int, max_descriptors: int
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (limit, limit))
    assert RealWorld(1).max_descriptors() == max_descriptors
