"""The prefix index over sockets: it helps with correct events, and does no harm with deliberately wrong ones."""

from __future__ import annotations

import random
import urllib.request
from pathlib import Path
from typing import Any

import msgspec
import pytest
import zmq

from tests.fleet_thread import FleetThread
from tests.withheld import RunningTimeWorld
from yardspindle import Policy
from yardspindle import interface as i
from yardspindle.core.prefix.blocks import block_hashes, pack_tokens
from yardspindle.core.prefix.cache_feed import Batch, BlockStored
from yardspindle.lab.audit import AuditLimits, AuditReport, audit_journals
from yardspindle.lab.clients import ClientClass, ClientHabits, Clients, draw_request
from yardspindle.lab.day import read_journal
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.runtime import zeromq
from yardspindle.runtime.real import RealWorld

CLASSES = (ClientClass("chat", 0.5, 2_900.0, 6), ClientClass("order", 0.5, 2_900.0, 6))
HABITS = ClientHabits(hang_up=0.05, stop_reading=0.0, openings=6, opening_words=300, words=30, whole=0.2)


class Hides(StandInEngine):
    """Publishes none of the blocks that it holds."""

    def _publish(self, number: int, data: bytes) -> None:
        super()._publish(number, msgspec.msgpack.encode(Batch(self.world.now_us() / 1e6, [])))


class Claims(StandInEngine):
    """Publishes blocks that it does not hold: those of every opening, again and again."""

    def _publish(self, number: int, data: bytes) -> None:
        batch = msgspec.msgpack.decode(data, type=Batch)
        packed = [b"<|system|>opening %d: price of heating oil today please confirm" % n * 20 for n in range(6)]
        batch.events += [
            BlockStored(
                [number * 1_000_000 + n * 1_000 + at for at in range(len(text) // 64)],
                None,
                list(text[: len(text) // 64 * 64]),
                64,
            )
            for n, text in enumerate(packed)
        ]
        super()._publish(number, msgspec.msgpack.encode(batch))


class Late(StandInEngine):
    """Publishes each batch two seconds late."""

    def _publish(self, number: int, data: bytes) -> None:
        publish = super()._publish
        self.world.call_at(self.world.now_us() + 2_000_000, lambda: publish(number, data))


class Shuffles(StandInEngine):
    """Loses, duplicates and reorders batches, and cannot replay the lost ones."""

    def _publish(self, number: int, data: bytes) -> None:
        rng = self.world.random(f"{self.settings.name} {number}")
        self.cache.replay_buffer.clear()
        publish = super()._publish
        for _ in range(rng.choice((0, 1, 1, 2))):
            self.world.call_at(self.world.now_us() + rng.randrange(1, 200_000), lambda: publish(number, data))


class OtherModel(StandInEngine):
    """Publishes another model's tokens, some in blocks of another size, and every fifth batch malformed."""

    def _publish(self, number: int, data: bytes) -> None:
        batch = msgspec.msgpack.decode(data, type=Batch)
        for event in batch.events:
            if isinstance(event, BlockStored):
                event.token_ids = [token + 1_000 for token in event.token_ids]
                event.block_size += number % 2
        super()._publish(number, b"\xc1" if number % 5 == 0 else msgspec.msgpack.encode(batch))


def start_fleet(
    folder: Path,
    config: dict[str, Any] | None = None,
    engine_settings: tuple[EngineSettings, ...] | None = None,
    engine_type: type[StandInEngine] = StandInEngine,
) -> FleetThread:
    """A fleet whose clock does not count the time for which the machine keeps its thread from running.

    Router, engines and clients share that thread. By real time, requests on a busy machine reach their deadlines, and
    states are held too long, when the router had a fraction of that time to act.
    """
    return FleetThread(folder, config, engine_settings, engine_type, RunningTimeWorld)


def run_traffic(fleet: FleetThread, requests: int, seed: int = 1) -> AuditReport:
    """Sends drawn traffic through the fleet, then audits the journals of clients and engines."""
    lines: list[dict[str, Any]] = []

    def run() -> bool:
        world, rng = fleet.world, random.Random(seed)
        clients = Clients(world, "yardspindle-demo", lines.append, HABITS)
        tasks = []
        for number in range(requests):
            tasks.append(
                world.spawn(
                    "client", clients.request, draw_request(rng, number, CLASSES, HABITS), [("127.0.0.1", fleet.port)]
                )
            )
            world.sleep_until(world.now_us() + rng.randrange(8_000))
        for task in tasks:
            task.join()
        return True

    assert fleet.call(run)
    fleet.until(
        lambda: (
            not fleet.edge.core.busy
            and not any(engine.states or engine.places or engine.load.running for engine in fleet.engines)
        )
    )
    assert not fleet.crashes
    engine_lines = read_journal(str(fleet.journal))
    report = audit_journals([], [*engine_lines, *lines], AuditLimits(unsafe=("order",)))
    assert report.violations == []
    assert fleet.edge.core.rule_checker.new_violations == []
    return report


def served_share(report: AuditReport) -> float:
    asked = sum(sum(row.values()) - row["left"] for row in report.outcomes.values())
    return sum(row["served"] for row in report.outcomes.values()) / asked


ENGINES = tuple(
    EngineSettings(name=f"r{n}", role="read", events=True, cache_tokens=12_000, read_tokens_per_s=100_000.0)
    for n in range(3)
) + (EngineSettings(name="w0", role="write", slots=64, step_ms=1.0),)


def test_what_readers_tell_becomes_what_the_policy_hears(tmp_path: Path) -> None:
    with start_fleet(tmp_path, engine_settings=ENGINES) as fleet:
        run_traffic(fleet, 120)
        tracker = fleet.edge.prefix_tracker
        assert tracker is not None
        fleet.until(
            lambda: all(
                feed.last_number is not None and feed.trust(fleet.world.now_us()) == 1.0
                for feed in tracker.feeds.values()
            )
        )
        for engine in fleet.engines[:3]:
            blocks = list(engine.cache.blocks)
            assert tracker.index.block_count(engine.settings.name) == len(blocks)
            assert all(tracker.index.longest_match(engine.settings.name, [block]) == 1 for block in blocks)
        assert tracker.score.found > 0.9 * tracker.score.predicted > 0
        page = urllib.request.urlopen(fleet.url.replace("/v1", "/metrics")).read().decode()
        assert f"yardspindle_index_blocks {float(len(tracker.index))}" in page
        assert 'yardspindle_index_trust{server="r0"} ' in page
        fleet.call(lambda: fleet.engines[0].cache.clear())
        fleet.until(lambda: tracker.index.block_count("r0") == 0)


@pytest.mark.parametrize("kind", [Hides, Claims, Late, Shuffles, OtherModel])
def test_events_that_are_wrong_on_purpose_break_no_rule_and_cost_no_service(
    tmp_path: Path, kind: type[StandInEngine]
) -> None:
    (tmp_path / "off").mkdir()
    with start_fleet(tmp_path / "off", {"index": {"mode": "off"}}, ENGINES) as fleet:
        without = served_share(run_traffic(fleet, 150))
    (tmp_path / "wrong").mkdir()
    with start_fleet(tmp_path / "wrong", engine_settings=ENGINES, engine_type=kind) as fleet:
        wrong = served_share(run_traffic(fleet, 150))
        tracker = fleet.edge.prefix_tracker
        assert tracker is not None and tracker.feeds
    assert wrong >= without - 0.02


def test_a_box_that_publishes_is_left_when_it_leaves_the_list(tmp_path: Path) -> None:
    with start_fleet(tmp_path, engine_settings=ENGINES) as fleet:
        run_traffic(fleet, 30)
        tracker = fleet.edge.prefix_tracker
        assert tracker is not None
        engines = fleet.engines
        fleet.engines = [engine for engine in engines if engine.settings.name != "r1"]
        fleet.call(fleet.write_server_list)
        fleet.until(lambda: "r1" not in tracker.feeds)
        assert tracker.index.block_count("r1") == 0
        fleet.engines = engines


# --- the policy's use of cached tokens


def router() -> Policy:
    settings = i.Settings(
        me=0,
        instances=6,
        zone="a",
        classes=(i.RequestClass("c", 1_000_000, 5_000_000),),
        kinds=(i.Kind("r", i.Role.READ), i.Kind("w", i.Role.WRITE, 1e9)),
    )
    policy = Policy(settings, seed=1)
    policy.handle(
        0,
        i.Members(
            i.ListKind.COMPLETE,
            1,
            (
                *(i.Entry(n, "a", "r", 0, i.State.SERVING, 1.0) for n in range(1, 7)),
                i.Entry(9, "a", "w", 0, i.State.SERVING, 1.0),
            ),
        ),
    )
    return policy


def test_what_is_told_counts_as_what_a_reader_must_read_and_nothing_else_changes() -> None:
    def start(kept: dict[int, float] | None) -> tuple[list[i.Action], dict[int, float]]:
        policy = router()
        actions = policy.handle(1_000, i.Request(1, "c", 5_000_000, 1_000.0, 900.0, prefix="p", session="s", kept=kept))
        return actions, {
            number: server.pending_tokens for number, server in policy.servers.items() if server.pending_tokens
        }

    plain, waiting = start(None)
    home = next(action.server for action in plain if isinstance(action, i.Send))
    assert waiting == {home: 1_000.0}
    assert start({}) == (plain, waiting), "without cached tokens it decides as before"
    assert start({home: 900.0}) == (plain, {home: 100.0})
    elsewhere = {n: start({n: 900.0})[1] for n in range(1, 7)}  # a new router has no bound yet: its home is over it
    chosen = {n for n, tokens in elsewhere.items() if tokens == {n: 100.0}}
    assert home in chosen and len(chosen) == 2, "only the home and the reader that it spills to"


def test_blocks_of_tokens_and_of_bytes_name_the_same_text() -> None:
    text = b"<|user|>" + b"word " * 40
    packed = bytearray(4 * len(text))
    packed[::4] = text
    assert block_hashes(bytes(packed), 64) == block_hashes(pack_tokens(list(text)), 64)


def test_a_subscriber_so_slow_that_messages_are_dropped_makes_up_for_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = RealWorld.message_socket

    def messages(self: RealWorld, kind: Any, *more: Any) -> Any:
        monkeypatch.setattr(zeromq, "HIGH_WATER_MARK", 2 if kind in ("pub", "sub") else 10_000)
        made: Any = real(self, kind, *more)
        if kind == "pub":
            made._socket.setsockopt(zmq.SNDBUF, 4_096)  # otherwise the kernel alone holds megabytes
        return made

    monkeypatch.setattr(RealWorld, "message_socket", messages)
    with start_fleet(tmp_path, engine_settings=ENGINES[2:]) as fleet:
        reader, tracker = fleet.engines[0], fleet.edge.prefix_tracker
        assert tracker is not None
        run_traffic(fleet, 5)  # the subscription is established

        def burst(batches: int) -> bool:
            """Keeps the edge's task from running, so that the library's queues and the kernel's buffers fill."""
            rng = random.Random(batches)
            for _ in range(batches):
                packed = rng.randbytes(4 * 64 * 20)
                reader.cache.insert(reader.cache.prompt_hashes(packed), packed)
            return True

        assert fleet.call(lambda: burst(300))
        feed, polls = tracker.feeds["r2"], 0

        def caught_up() -> bool:
            """Publishes another batch every 100 polls, as engines do: the next batch shows the gap."""
            nonlocal polls
            polls += 1
            if polls % 100 == 0:
                burst(1)
            return feed.last_number == reader.cache.replay_buffer[-1][0] and feed.trust(fleet.world.now_us()) == 1.0

        fleet.until(caught_up)
        assert feed.counts.gaps > 0, "nothing was dropped: the burst is too small"
        assert tracker.index.block_count("r2") == len(reader.cache.blocks)
        assert feed.counts.unfilled_gaps == 0
