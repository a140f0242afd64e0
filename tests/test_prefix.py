"""The prefix index and the cache feeds against reference models, with lost, duplicated and reordered batches."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardspindle.core.prefix.blocks import block_hashes, pack_tokens
from yardspindle.core.prefix.cache_feed import (
    REPLAY_TIMEOUT_US,
    TRUST_HALF_LIFE_US,
    AllBlocksCleared,
    Batch,
    BlockRemoved,
    BlockStored,
    CacheFeed,
)
from yardspindle.core.prefix.prefix_index import PrefixIndex

BLOCK_SIZE = 4


class ReferenceIndex:
    """Reference index: the set of engines that hold each block."""

    def __init__(self) -> None:
        self.blocks: dict[int, set[str]] = {}

    def store(self, engine: str, hashes: list[int]) -> None:
        for block in hashes:
            self.blocks.setdefault(block, set()).add(engine)

    def remove(self, engine: str, hashes: list[int]) -> None:
        for block in hashes:
            self.blocks.get(block, set()).discard(engine)

    def clear(self, engine: str) -> None:
        for holders in self.blocks.values():
            holders.discard(engine)

    def match(self, hashes: list[int]) -> dict[str, int]:
        found: dict[str, int] = {}
        for depth, block in enumerate(hashes):
            for engine in self.blocks.get(block, set()):
                if found.get(engine, 0) == depth:
                    found[engine] = depth + 1
        return found


engines = st.sampled_from([f"b{n}" for n in range(7)])
chains = st.lists(st.integers(1, 12), min_size=1, max_size=6)
index_steps = st.lists(st.tuples(st.sampled_from(["store", "remove", "clear", "match"]), engines, chains), max_size=80)


@settings(max_examples=300, deadline=None)
@given(index_steps)
def test_the_index_answers_as_a_dict_of_sets_would(steps: list[tuple[str, str, list[int]]]) -> None:
    ours, reference = PrefixIndex(10_000), ReferenceIndex()
    for operation, engine, hashes in steps:
        if operation == "clear":
            ours.clear(engine)
            reference.clear(engine)
        elif operation != "match":
            getattr(ours, operation)(engine, hashes)
            getattr(reference, operation)(engine, hashes)
        assert ours.match(hashes) == reference.match(hashes)
        assert ours.longest_match(engine, hashes) == reference.match(hashes).get(engine, 0)
        assert ours.block_count(engine) == sum(engine in holders for holders in reference.blocks.values())


@settings(max_examples=100, deadline=None)
@given(index_steps, st.integers(1, 8))
def test_a_bounded_index_never_says_more_than_is_held(steps: list[tuple[str, str, list[int]]], max_blocks: int) -> None:
    ours, reference = PrefixIndex(max_blocks), ReferenceIndex()
    for operation, engine, hashes in steps:
        if operation == "clear":
            ours.clear(engine)
            reference.clear(engine)
        elif operation != "match":
            getattr(ours, operation)(engine, hashes)
            getattr(reference, operation)(engine, hashes)
        held = reference.match(hashes)
        assert all(depth <= held[engine] for engine, depth in ours.match(hashes).items())
        assert len(ours) <= max_blocks


def test_a_flood_of_unseen_texts_pushes_out_only_what_nobody_asked_for() -> None:
    index = PrefixIndex(1_000)
    requested = list(range(1, 301))
    index.store("a", requested)
    assert index.match(requested) == {"a": 300}
    for flood in range(200):
        index.store("b", range(10_000 + flood * 100, 10_100 + flood * 100))
    assert index.match(requested) == {"a": 300} and len(index) == 1_000
    assert index.block_count("b") == 700


def test_boxes_that_forget_again_and_again_leave_no_dead_bits() -> None:
    index = PrefixIndex(5_000)
    for round_ in range(200):
        index.store("a", range(round_ * 10, round_ * 10 + 10))
        index.clear("a")
        for _ in range(40):
            index.store("b", [1])
    assert len(index._engine_by_bit) < 20 and index.match([1]) == {"b": 1}


def test_blocks_chain_like_a_cache_cuts_them() -> None:
    tokens = pack_tokens(list(range(11)))
    first = block_hashes(tokens, BLOCK_SIZE)
    assert len(first) == 2, "an incomplete last block has no hash"
    assert block_hashes(pack_tokens([*range(8), 99, 99, 99]), BLOCK_SIZE) == first
    assert block_hashes(pack_tokens([1, *range(1, 11)]), BLOCK_SIZE)[1] != first[1], (
        "a block's hash covers all before it"
    )
    assert block_hashes(tokens[BLOCK_SIZE * 4 :], BLOCK_SIZE, parent=first[0])[0] == first[1]
    with pytest.raises(OverflowError):
        pack_tokens([2**32])


# --- feeds


class Publisher:
    """An engine's cache that publishes its changes as vLLM does, with block names of its own."""

    def __init__(self, salt: int = 0) -> None:
        self.salt, self.number, self.timestamp = salt, 0, 1.0
        self.held: OrderedDict[int, list[int]] = OrderedDict()
        self.sent: list[tuple[int, Batch]] = []

    def name(self, block: int) -> int:
        return block ^ self.salt

    def read(self, tokens: list[int]) -> None:
        hashes = block_hashes(pack_tokens(tokens), BLOCK_SIZE)
        new = [at for at, block in enumerate(hashes) if block not in self.held]
        events: list[Any] = []
        if new:
            parent = self.name(hashes[new[0] - 1]) if new[0] else None
            events.append(
                BlockStored(
                    [self.name(hashes[at]) for at in new],
                    parent,
                    tokens[new[0] * BLOCK_SIZE : len(hashes) * BLOCK_SIZE],
                    BLOCK_SIZE,
                )
            )
        for at in new:
            self.held[hashes[at]] = tokens[: (at + 1) * BLOCK_SIZE]
        self.publish(events)

    def evict(self, count: int) -> None:
        evicted = [self.held.popitem()[0] for _ in range(min(count, len(self.held)))]
        self.publish([BlockRemoved([self.name(block) for block in evicted])])

    def clear(self) -> None:
        self.held.clear()
        self.publish([AllBlocksCleared()])

    def publish(self, events: list[Any]) -> None:
        self.timestamp += 1
        self.sent.append((self.number, Batch(self.timestamp, events)))
        self.number += 1

    def cached_blocks(self, tokens: list[int]) -> int:
        depth = 0
        for block in block_hashes(pack_tokens(tokens), BLOCK_SIZE):
            if block not in self.held:
                break
            depth += 1
        return depth


def draw_tokens(rng: random.Random) -> list[int]:
    return [rng.randrange(3)] * BLOCK_SIZE * rng.randint(1, 3) + [
        rng.randrange(3) for _ in range(BLOCK_SIZE * rng.randint(0, 3))
    ]


def publish_drawn_events(publisher: Publisher, rng: random.Random, rounds: int) -> None:
    for _ in range(rounds):
        draw = rng.random()
        if draw < 0.75:
            publisher.read(draw_tokens(rng))
        elif draw < 0.97:
            publisher.evict(rng.randint(1, 3))
        else:
            publisher.clear()


def assert_index_matches(index: PrefixIndex, publisher: Publisher, rng: random.Random) -> None:
    for _ in range(20):
        tokens = draw_tokens(rng)
        assert index.longest_match("a", block_hashes(pack_tokens(tokens), BLOCK_SIZE)) == publisher.cached_blocks(
            tokens
        )


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_a_feed_in_order_is_the_cache(seed: int) -> None:
    rng, publisher, index = random.Random(seed), Publisher(salt=77), PrefixIndex(10_000)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    publish_drawn_events(publisher, rng, 40)
    for number, batch in publisher.sent:
        assert feed.receive(0, number, batch) is None
    assert feed.trust(10**9) == 1.0
    assert_index_matches(index, publisher, rng)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_lost_doubled_and_shuffled_batches_are_mended_by_replay(seed: int) -> None:
    rng, publisher, index = random.Random(seed), Publisher(salt=5), PrefixIndex(10_000)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    publish_drawn_events(publisher, rng, 40)
    received = [item for item in publisher.sent if rng.random() > 0.2]
    received += rng.sample(received, len(received) // 4)
    received.sort(key=lambda item: item[0] + rng.uniform(0, 4))
    received.append(publisher.sent[-1])
    for number, batch in received:
        first_missing = feed.receive(0, number, batch)
        if first_missing is not None:
            feed.receive_replay(0, [item for item in publisher.sent if first_missing <= item[0] <= number])
    assert_index_matches(index, publisher, rng)
    assert feed.trust(0) == 1.0


def test_a_gap_that_stays_makes_unsure_and_trust_fades_until_told_anew() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    publisher.read([1] * 8)
    publisher.read([2] * 8)
    publisher.read([3] * 40)
    first, _, third = publisher.sent
    feed.receive(0, *first)
    assert feed.receive(10, *third) == 1 and feed.trust(10) == 1.0
    feed.check_timeout(10 + REPLAY_TIMEOUT_US)
    assert feed.trust(10 + REPLAY_TIMEOUT_US) == 1.0
    feed.check_timeout(11 + REPLAY_TIMEOUT_US)
    assert feed.counts.unfilled_gaps == 1 and feed.last_number == 2
    assert feed.trust(11 + REPLAY_TIMEOUT_US + TRUST_HALF_LIFE_US) == pytest.approx(0.5)
    assert index.longest_match("a", block_hashes(pack_tokens([3] * 40), BLOCK_SIZE)) == 10
    publisher.clear()
    feed.receive(0, *publisher.sent[-1])
    assert feed.trust(10**12) == 1.0 and index.block_count("a") == 0


def test_a_publisher_that_starts_anew_holds_nothing_and_one_that_repeats_changes_nothing() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    feed = CacheFeed("a", index, BLOCK_SIZE)
    publisher.read([1] * 8)
    publisher.read([2] * 8)
    for item in (*publisher.sent, *publisher.sent):
        feed.receive(0, *item)
    assert (feed.counts.duplicates, index.block_count("a")) == (2, 4)
    restarted = Publisher()
    restarted.timestamp = publisher.timestamp + 5
    restarted.read([3] * 4)
    feed.receive(0, *restarted.sent[0])
    assert feed.counts.restarts == 1 and index.block_count("a") == 1 and feed.trust(0) == 1.0
