"""The prefix index compared with a dict of sets: look-ups, updates, bytes per block.

Run: python benchmarks/prefix_index.py [--blocks N]. Both store the same random prompts; times are ratios of medians
within the run, memory is measured with tracemalloc.
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

PROMPT_BLOCKS = 64  # blocks per prompt
MEAN_HOLDERS = 6.0  # mean number of engines that hold a prompt


class DictIndex:
    """Baseline index: a dict from block to the set of its holders."""

    def __init__(self) -> None:
        self.blocks: dict[int, set[str]] = {}

    def store(self, engine: str, hashes: list[int]) -> None:
        for block in hashes:
            self.blocks.setdefault(block, set()).add(engine)

    def remove(self, engine: str, hashes: list[int]) -> None:
        for block in hashes:
            holders = self.blocks.get(block)
            if holders is not None:
                holders.discard(engine)
                if not holders:
                    del self.blocks[block]

    def clear(self, engine: str) -> None:
        for block in [block for block, holders in self.blocks.items() if engine in holders]:
            self.remove(engine, [block])

    def match(self, hashes: list[int]) -> dict[str, int]:
        found: dict[str, int] = {}
        alive: set[str] | None = None
        for depth, block in enumerate(hashes):
            holders = self.blocks.get(block, set())
            now = set(holders) if alive is None else alive & holders
            for engine in (alive or set()) - now:
                found[engine] = depth
            alive = now
            if not alive:
                return found
        for engine in alive or set():
            found[engine] = len(hashes)
        return found


def build(make: Callable[[], Any], prompts: list[list[int]], holders: list[list[str]]) -> tuple[Any, int]:
    tracemalloc.start()
    index = make()
    for prompt, engines in zip(prompts, holders, strict=True):
        for engine in engines:
            index.store(engine, prompt)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return index, size


def median_time(work: Callable[[], object], times: int = 5) -> float:
    took = []
    for _ in range(times):
        started = time.perf_counter()
        work()
        took.append(time.perf_counter() - started)
    return statistics.median(took)


def compare(count: int, blocks: int) -> None:
    rng = random.Random(1)
    engines = [f"engine{n}" for n in range(count)]
    prompts = [[rng.getrandbits(64) for _ in range(PROMPT_BLOCKS)] for _ in range(blocks // PROMPT_BLOCKS)]
    holders = [rng.sample(engines, min(count, 1 + int(rng.expovariate(1 / (MEAN_HOLDERS - 1))))) for _ in prompts]
    ours, our_bytes = build(lambda: PrefixIndex(2 * blocks), prompts, holders)
    plain, plain_bytes = build(DictIndex, prompts, holders)
    sample = rng.sample(prompts, 1_000)
    assert all(ours.match(prompt) == plain.match(prompt) for prompt in sample)

    def updates(index: Any) -> Callable[[], None]:
        def work() -> None:
            for prompt in sample:
                index.remove("engine1", prompt)
                index.store("engine1", prompt)

        return work

    lookup = median_time(lambda: [ours.match(prompt) for prompt in sample]) / median_time(
        lambda: [plain.match(prompt) for prompt in sample]
    )
    update = median_time(updates(ours)) / median_time(updates(plain))
    clear = median_time(lambda: ours.clear("engine2"), 1) / median_time(lambda: plain.clear("engine2"), 1)
    print(
        f"{count} engines, {len(prompts) * PROMPT_BLOCKS} blocks, ours / dict of sets: "
        f"look-up {lookup:.2f}, update {update:.2f}, clear {clear:.6f}; "
        f"bytes a block {our_bytes / blocks:.0f} against {plain_bytes / blocks:.0f}"
    )


@click.command()
@click.option("--blocks", default=1_000_000, show_default=True)
def main(blocks: int) -> None:
    for count in (75, 1_000):
        compare(count, blocks)


if __name__ == "__main__":
    main()
