"""The prefix index against a plain dict of sets: look-ups, updates, bytes a block.

Run: python benchmarks/prefix_index.py [--blocks N]. The same drawn texts are stored in both; times are ratios of
medians within the run, memory is what tracemalloc counts.
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import click

from yardspindle.core.prefix.prefix_index import PrefixIndex

TEXT = 64  # blocks of a text
HOLDERS = 6.0  # mean number of boxes that hold a text


class Plain:
    """A dict of sets."""

    def __init__(self) -> None:
        self.blocks: dict[int, set[str]] = {}

    def store(self, box: str, hashes: list[int]) -> None:
        for block in hashes:
            self.blocks.setdefault(block, set()).add(box)

    def remove(self, box: str, hashes: list[int]) -> None:
        for block in hashes:
            holders = self.blocks.get(block)
            if holders is not None:
                holders.discard(box)
                if not holders:
                    del self.blocks[block]

    def clear(self, box: str) -> None:
        for block in [block for block, holders in self.blocks.items() if box in holders]:
            self.remove(box, [block])

    def match(self, hashes: list[int]) -> dict[str, int]:
        found: dict[str, int] = {}
        alive: set[str] | None = None
        for depth, block in enumerate(hashes):
            holders = self.blocks.get(block, set())
            now = set(holders) if alive is None else alive & holders
            for box in (alive or set()) - now:
                found[box] = depth
            alive = now
            if not alive:
                return found
        for box in alive or set():
            found[box] = len(hashes)
        return found


def filled(make: Callable[[], Any], texts: list[list[int]], holders: list[list[str]]) -> tuple[Any, int]:
    tracemalloc.start()
    made = make()
    for text, boxes in zip(texts, holders, strict=True):
        for box in boxes:
            made.store(box, text)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def timed(work: Callable[[], object], times: int = 5) -> float:
    took = []
    for _ in range(times):
        started = time.perf_counter()
        work()
        took.append(time.perf_counter() - started)
    return statistics.median(took)


def compare(count: int, blocks: int) -> None:
    rng = random.Random(1)
    boxes = [f"box{n}" for n in range(count)]
    texts = [[rng.getrandbits(64) for _ in range(TEXT)] for _ in range(blocks // TEXT)]
    holders = [rng.sample(boxes, min(count, 1 + int(rng.expovariate(1 / (HOLDERS - 1))))) for _ in texts]
    ours, our_bytes = filled(lambda: PrefixIndex(2 * blocks), texts, holders)
    plain, plain_bytes = filled(Plain, texts, holders)
    sample = rng.sample(texts, 1_000)
    assert all(ours.match(text) == plain.match(text) for text in sample)

    def updates(made: Any) -> Callable[[], None]:
        def work() -> None:
            for text in sample:
                made.remove("box1", text)
                made.store("box1", text)

        return work

    look = timed(lambda: [ours.match(text) for text in sample]) / timed(lambda: [plain.match(text) for text in sample])
    update = timed(updates(ours)) / timed(updates(plain))
    clear = timed(lambda: ours.clear("box2"), 1) / timed(lambda: plain.clear("box2"), 1)
    print(
        f"{count} boxes, {len(texts) * TEXT} blocks, ours / dict of sets: look-up {look:.2f}, update {update:.2f}, "
        f"clear {clear:.6f}; bytes a block {our_bytes / blocks:.0f} against {plain_bytes / blocks:.0f}"
    )


@click.command()
@click.option("--blocks", default=1_000_000, show_default=True)
def main(blocks: int) -> None:
    for count in (75, 1_000):
        compare(count, blocks)


if __name__ == "__main__":
    main()
