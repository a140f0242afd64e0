"""Hit rate with cache events, with guesses, with neither, and with an oracle under the same bound.

Run: python benchmarks/prefix_hits.py. The policy and the cores run on drawn traffic against emulated caches on a
clock of the benchmark's own: no socket, the same figures every time. Three kinds of traffic, at 10 and 40 readers:
steady shared texts, unseen texts in a flood, everything forgotten in the middle. The oracle tells the policy what
each reader really keeps; "neither" tells it nothing, so that it goes by its own memory as ever. Several routers read
at the same boxes and know nothing of each other.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from yardspindle import Policy
from yardspindle import interface as i
from yardspindle.core.prefix.blocks import pack_tokens
from yardspindle.core.prefix.cache_feed import Batch
from yardspindle.core.prefix.prefix_tracker import PrefixTracker, PromptBlocks
from yardspindle.core.prefix.tokenizer import ByteTokenizer
from yardspindle.lab.block_cache import BlockCache

SIZE = 16
ROUTERS = 3
SECONDS = {10: 20.0, 40: 6.0}  # by readers: as many requests in each
RATE_PER_READER = 30.0  # busy: with less, every prompt is read at its home and nothing depends on knowing
TOKENS_PER_S = 20_000.0
ROOM_BLOCKS = 2_500
KINDS = ("steady", "flood", "forget")
MODES = ("oracle", "events", "guess", "neither")


@dataclass
class Reader:
    """A cache and one queue."""

    cache: BlockCache
    free_us: int = 0
    sent: list[tuple[int, bytes]] = field(default_factory=list)


@dataclass
class Tally:
    """Tokens and times."""

    asked: int = 0
    cached: int = 0
    waits_us: list[int] = field(default_factory=list)


def prompt(
    rng: random.Random, kind: str, now_s: float, sessions: dict[int, list[int]], seconds: float
) -> tuple[str, str, list[int], int]:
    """Shared text's name, session's name, tokens, and the shared text's length."""
    if kind == "flood" and seconds / 3 < now_s < 2 * seconds / 3 and rng.random() < 0.3:
        name = rng.randrange(10**9)
        return f"u{name}", f"su{name}", [rng.randrange(50_000) for _ in range(1_500)], 1_400
    text = min(int(rng.paretovariate(0.9)) - 1, 199)
    base = [text * 7 + at % 911 for at in range(800 + text * 37 % 1_600)]
    session = rng.randrange(400)
    turns = sessions.setdefault(text * 1_000 + session, [])
    turns += [rng.randrange(50_000) for _ in range(rng.randrange(40, 200))]
    if len(turns) > 900:
        turns.clear()
    return f"t{text}", f"s{text}-{session}", base + turns, len(base)


def play(kind: str, readers: int, mode: str) -> Tally:
    rng, seconds = random.Random(f"{kind} {readers}"), SECONDS[readers]
    boxes: list[Reader] = []
    for _ in range(readers):
        sent: list[tuple[int, bytes]] = []
        boxes.append(
            Reader(
                BlockCache(
                    ROOM_BLOCKS,
                    SIZE,
                    rng.getrandbits(60),
                    lambda n, d, s=sent: s.append((n, d)),  # type: ignore[misc]
                    lambda: now_us / 1e6,
                ),
                0,
                sent,
            )
        )
    settings = [
        i.Settings(
            me=me,
            instances=ROUTERS,
            zone="a",
            classes=(i.RequestClass("c", 1_500_000, 7_500_000),),
            kinds=(i.Kind("r", i.Role.READ), i.Kind("w", i.Role.WRITE, 1e9)),
        )
        for me in range(ROUTERS)
    ]
    policies = [Policy(one, seed) for seed, one in enumerate(settings)]
    entries = (
        *(i.Entry(n + 1, "a", "r", 0, i.State.SERVING, 1.0) for n in range(readers)),
        i.Entry(10_000, "a", "w", 0, i.State.SERVING, 1.0),
    )
    now_us = 0
    for policy in policies:
        policy.handle(0, i.Members(i.ListKind.COMPLETE, 1, entries))
    known = [
        PrefixTracker(ByteTokenizer(), SIZE, 1_000_000, use_estimates=mode == "guess", use_events=mode == "events")
        for _ in range(ROUTERS)
    ]
    names = [str(n + 1) for n in range(readers)]
    for knowledge in known:
        knowledge.set_publishers(names)
    due: list[tuple[int, int, str, Any]] = []
    order = 0

    def later(at_us: int, what: str, value: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(due, (at_us, order, what, value))

    tally, number = Tally(), 0
    sessions: dict[int, list[int]] = {}
    asks: dict[int, tuple[int, list[int], PromptBlocks, dict[str, float]]] = {}
    heard = [[0] * readers for _ in range(ROUTERS)]
    at = 0.0
    while (at := at + rng.expovariate(RATE_PER_READER * readers)) < seconds:
        later(int(at * 1e6), "ask", None)
    if kind == "forget":
        later(int(seconds / 2 * 1e6), "forget", None)

    def act(router: int, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.SetTimer):
                later(action.due_us, "timer", (router, action.token))
            elif isinstance(action, i.Send):
                _, tokens, blocks, told = asks[action.request]
                if action.server == 10_000:
                    later(now_us + 1_000, "written", (router, action.request))
                    continue
                reader = boxes[action.server - 1]
                packed = pack_tokens(tokens)
                cached = reader.cache.cached_prefix_blocks(list(blocks.hashes)) * SIZE
                reader.cache.insert(list(blocks.hashes), packed)
                started = max(now_us, reader.free_us)
                reader.free_us = started + int((len(tokens) - cached) / TOKENS_PER_S * 1e6)
                tally.asked += len(tokens)
                tally.cached += cached
                tally.waits_us.append(reader.free_us - now_us)
                later(reader.free_us, "read", (router, action.request, action.server, cached, now_us))

    while due:
        now_us, _, what, value = heapq.heappop(due)
        if what == "ask":
            number += 1
            router = rng.randrange(ROUTERS)
            text, session, tokens, shared = prompt(rng, kind, now_us / 1e6, sessions, seconds)
            blocks = PromptBlocks(boxes[0].cache.prompt_hashes(pack_tokens(tokens)), len(tokens))
            knowledge = known[router]
            if mode == "events":
                for n, reader in enumerate(boxes):
                    for seq, data in reader.sent[heard[router][n] :]:
                        knowledge.receive_batch(now_us, names[n], seq, msgspec.msgpack.decode(data, type=Batch))
                    heard[router][n] = len(reader.sent)
            if mode == "oracle":
                told = {
                    name: float(box.cache.cached_prefix_blocks(list(blocks.hashes)) * SIZE)
                    for name, box in zip(names, boxes, strict=True)
                }
            elif mode == "neither":
                told = {}
            else:
                told = knowledge.predict_from_index(now_us, blocks, names, float(len(tokens)))
            asks[number] = (router, list(tokens), blocks, told)
            kept = {int(name): value for name, value in told.items()} if mode != "neither" else None
            act(
                router,
                policies[router].handle(
                    now_us,
                    i.Request(
                        number,
                        "c",
                        now_us + 7_500_000,
                        float(len(tokens)),
                        float(shared),
                        20.0,
                        prefix=text,
                        session=session,
                        kept=kept,
                    ),
                ),
            )
        elif what == "read":
            router, request, server, cached, sent_us = value
            _, tokens, blocks, told = asks[request]
            if mode == "guess":
                known[router].read(names[server - 1], blocks, len(tokens), cached, None)
            act(
                router,
                policies[router].handle(
                    now_us, i.Outcome(request, 0, server, i.Status.READ, now_us - sent_us, False, cached)
                ),
            )
        elif what == "written":
            router, request = value
            act(router, policies[router].handle(now_us, i.Outcome(request, 1, 10_000, i.Status.SERVED, 1_000, True)))
        elif what == "timer":
            act(value[0], policies[value[0]].handle(now_us, i.Timer(value[1])))
        else:
            for reader in boxes:
                reader.cache.clear()
    return tally


@click.command()
@click.option("--routers", default=ROUTERS, help="That read at the same boxes and know nothing of each other.")
@click.option("--seconds", type=float, help="Of traffic, instead of the stated.")
@click.option("--readers", type=int, multiple=True, default=tuple(SECONDS), help="Sizes to play.")
def main(routers: int, seconds: float | None, readers: tuple[int, ...]) -> None:
    """Play every kind of traffic in every mode."""
    global ROUTERS
    ROUTERS = routers
    for size in readers:
        SECONDS[size] = seconds or SECONDS[size]
        for kind in KINDS:
            tallies = {mode: play(kind, size, mode) for mode in MODES}
            best = tallies["oracle"]
            rows = []
            for mode, tally in tallies.items():
                rate = tally.cached / tally.asked
                mean = sum(tally.waits_us) / len(tally.waits_us)
                work = (tally.asked - tally.cached) / (best.asked - best.cached)
                of_best = rate / (best.cached / best.asked)
                wait = mean / (sum(best.waits_us) / len(best.waits_us))
                rows.append(f"{mode} {rate:.3f} ({of_best:.2f} of the oracle; work {work:.2f}, read time {wait:.2f})")
            print(f"{size} readers, {kind}: " + "; ".join(rows))


if __name__ == "__main__":
    main()
