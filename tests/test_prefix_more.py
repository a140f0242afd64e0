"""More of the prefix index: what follows events, guesses and claims."""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_prefix import SIZE, Publisher, boxes
from yardspindle.core.texts.blocks import chain, pack
from yardspindle.core.texts.cache_feed import (
    EARLY_MOST,
    UNSURE_HALF_US,
    AllBlocksCleared,
    Batch,
    BlockRemoved,
    BlockStored,
    CacheFeed,
)
from yardspindle.core.texts.prefix_guess import PrefixGuess
from yardspindle.core.texts.prefix_index import PrefixIndex
from yardspindle.core.texts.prefix_knowledge import PrefixKnowledge
from yardspindle.core.texts.tokens import ByteTokenizer, ModelTokenizer


def test_coming_late_the_whole_story_is_asked_for() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    feed = CacheFeed("a", index, SIZE)
    publisher.read([1] * 8)
    publisher.read([2] * 8)
    assert feed.take(0, *publisher.sent[1]) == 0 and feed.trust(1) < 1.0
    feed.replayed(1, publisher.sent)
    assert feed.trust(10**9) == 1.0 and index.held_by("a") == 4


def test_what_does_not_fit_is_left_out_and_counted() -> None:
    index = PrefixIndex(100)
    feed = CacheFeed("a", index, SIZE)
    feed.take(
        0,
        0,
        Batch(
            1.0,
            [
                BlockStored([9], 8, [1] * SIZE, SIZE),
                BlockStored([1], None, [1] * 8, 8),
                BlockStored([1], None, [1], SIZE),
                BlockStored([1], None, [-1] * SIZE, SIZE),
                BlockRemoved([3]),
            ],
        ),
    )
    assert (feed.counts.orphans, feed.counts.misfits, index.held_by("a")) == (1, 3, 0)


def test_early_batches_are_bounded() -> None:
    publisher = Publisher()
    for number in range(EARLY_MOST + 50):
        publisher.read([number] * SIZE)
    feed = CacheFeed("a", PrefixIndex(10_000), SIZE)
    feed.take(0, *publisher.sent[0])
    for item in publisher.sent[2:]:
        feed.take(0, *item)
        assert len(feed._early) <= EARLY_MOST + 1
    assert feed.counts.lost == 1 and feed.last == publisher.number - 1


def test_a_replay_that_brings_what_waited_does_not_go_back_to_it() -> None:
    publisher, index = Publisher(), PrefixIndex(10_000)
    for number in range(10):
        publisher.read([number] * SIZE)
    feed = CacheFeed("a", index, SIZE)
    feed.take(0, *publisher.sent[0])
    assert feed.take(0, *publisher.sent[4]) == 1 and feed.take(0, *publisher.sent[5]) is None
    feed.replayed(
        0,
        [
            (number, msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=Batch))
            for number, batch in publisher.sent[1:]
        ],
    )
    assert (feed.last, feed.counts.lost, feed.trust(0)) == (9, 0, 1.0)
    assert feed.take(0, *publisher.sent[9]) is None and feed.counts.repeats == 1


def test_batches_are_vllms_bytes() -> None:
    """Laid out by hand as vLLM's encoder does: arrays, the tag first; later fields are passed over."""
    data = msgspec.msgpack.encode(
        [
            1.5,
            [
                ["BlockStored", [11, b"x"], None, [1] * 8, 4, None, "GPU"],
                ["BlockRemoved", [11], "GPU"],
                ["AllBlocksCleared"],
            ],
            0,
        ]
    )
    batch = msgspec.msgpack.decode(data, type=Batch)
    assert batch == Batch(1.5, [BlockStored([11, b"x"], None, [1] * 8, 4), BlockRemoved([11]), AllBlocksCleared()])


# --- guesses


class Cache:
    """An engine with room for so many blocks, least recently used out first."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.blocks: OrderedDict[int, None] = OrderedDict()

    def read(self, hashes: list[int]) -> int:
        found = 0
        while found < len(hashes) and hashes[found] in self.blocks:
            found += 1
        for block in reversed(hashes):
            self.blocks.pop(block, None)
            self.blocks[block] = None
        while len(self.blocks) > self.room:
            self.blocks.popitem(last=False)
        return found


def test_guesses_learn_how_much_pushes_a_text_out() -> None:
    rng = random.Random(1)
    cache, guess = Cache(room=600), PrefixGuess(SIZE, 100_000)
    prompts = [chain(pack([n, n + 1, n + 2, n + 3] * 40), SIZE) for n in range(60)]
    off = []
    for step in range(4_000):
        hashes = prompts[min(int(rng.paretovariate(0.7)) - 1, 59)]
        guessed = guess.longest("a", hashes)
        found = cache.read(hashes)
        if step > 2_000:
            off.append(abs(guessed - found) / len(hashes))
        guess.read("a", hashes, len(hashes) * SIZE, found * SIZE)
    assert sum(off) / len(off) < 0.2
    never = PrefixGuess(SIZE, 100_000)
    never.read("a", prompts[0], 160, 0)
    assert never.longest("a", prompts[0]) == len(prompts[0]) and never.longest("b", prompts[0]) == 0


def test_a_box_that_forgot_everything_is_believed_at_once() -> None:
    guess = PrefixGuess(SIZE, 100_000)
    prompts = [chain(pack([n] * 40), SIZE) for n in range(10)]
    for hashes in prompts:
        guess.read("a", hashes, 40, 0)
    guess.read("a", prompts[0], 40, 40)
    guess.read("a", prompts[1], 40, 0)
    assert guess.forgot == 1
    assert [guess.longest("a", hashes) for hashes in prompts[:3]] == [0, 10, 0]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(boxes, st.lists(st.integers(1, 10**6), min_size=1, max_size=30)), max_size=60),
    st.integers(1, 50),
)
def test_guesses_are_bounded_in_all(reads: list[tuple[str, list[int]]], most: int) -> None:
    guess = PrefixGuess(SIZE, most)
    for box, hashes in reads:
        guess.read(box, hashes, len(hashes) * SIZE, None)
        assert sum(len(known.stamps) for known in guess._boxes.values()) <= most


# --- knowledge


def test_events_count_while_they_are_trusted_and_guesses_after() -> None:
    knowledge = PrefixKnowledge(ByteTokenizer(), SIZE, 1_000)
    blocks = knowledge.blocks([("user", b"0123456789")], b"")
    tokens = list(b"<|user|>0123456789")
    assert (len(blocks.hashes), blocks.tokens) == (4, 18)
    knowledge.listed(["a"])
    assert knowledge.kept(0, blocks, ["a", "b"], 18.0) == {"a": 0.0, "b": 0.0}
    stored = BlockStored([1, 2, 3, 4], None, tokens[:16], SIZE)
    assert knowledge.batch(0, "a", 0, Batch(1.0, [stored])) is None
    assert knowledge.kept(0, blocks, ["a", "b"], 18.0) == {"a": 16.0, "b": 0.0}
    assert knowledge.kept(0, blocks, ["a"], 9.0) == {"a": 8.0}, "an engine's tokens may be others than ours"
    assert knowledge.batch(0, "nobody", 0, Batch(1.0, [])) is None and knowledge.ignored == 1
    knowledge.lost(0, "a")
    assert knowledge.kept(UNSURE_HALF_US // 2, blocks, ["a"], 18.0)["a"] == pytest.approx(16 * 0.5**0.5)
    knowledge.read("a", blocks, 18, 8, told=16.0)
    assert knowledge.kept(2 * UNSURE_HALF_US, blocks, ["a"], 18.0) == {"a": 16.0}, "our own read"
    assert (knowledge.score.told, knowledge.score.found) == (16, 8)
    knowledge.restarted("a")
    assert knowledge.kept(2 * UNSURE_HALF_US, blocks, ["a"], 18.0) == {"a": 0.0}
    knowledge.listed([])
    assert not knowledge.feeds and knowledge.index.held_by("a") == 0


def test_a_box_whose_claims_its_reads_belie_is_not_believed_until_they_agree() -> None:
    knowledge = PrefixKnowledge(ByteTokenizer(), SIZE, 10_000, guessing=False)
    blocks = knowledge.blocks([("user", b"x" * 400)], b"")
    knowledge.listed(["liar", "hider", "honest"])
    stored = [BlockStored(list(range(1, 103)), None, list(b"<|user|>" + b"x" * 400), SIZE)]
    for box, told in (("liar", stored), ("hider", []), ("honest", stored)):
        knowledge.batch(0, box, 0, Batch(1.0, list(told)))
    found = {"liar": 0, "hider": 408, "honest": 400}
    for _ in range(10):
        claims = knowledge.claimed(0, blocks, 408.0)
        for box, cached in found.items():
            knowledge.read(box, blocks, 408, cached, None, claims[box])
    assert set(knowledge.kept(0, blocks, found, 408.0)) == {"honest"}
    for _ in range(20):
        knowledge.read("liar", blocks, 408, 400, None, knowledge.claimed(0, blocks, 408.0)["liar"])
    assert set(knowledge.kept(0, blocks, found, 408.0)) == {"honest", "liar"}
    knowledge.restarted("hider")
    assert knowledge.claims.believed("hider")
    knowledge.read("liar", blocks, 40, 0, None, 40.0)
    assert knowledge.claims.agreement("liar") > 0.9, "too little to judge by"


def test_a_models_own_tokenizer_and_template() -> None:
    import tokenizers

    made = tokenizers.Tokenizer(tokenizers.models.WordLevel({"hi": 1, "you": 2, "user": 3, "?": 0}, unk_token="?"))
    made.pre_tokenizer = tokenizers.pre_tokenizers.Whitespace()
    template = "{% for m in messages %}{{ m.role }} {{ m.content }} {% endfor %}"
    tokenizer = ModelTokenizer(made.to_str().encode(), template)
    assert tokenizer.packed([("user", b"hi you")], b"") == pack([3, 1, 2])
    with pytest.raises(ValueError):
        ModelTokenizer(b"{}", "x")
    with pytest.raises(ValueError):
        ModelTokenizer(made.to_str().encode(), "{% for")
