"""Cache hit rate with cache events, with estimates, with neither, and with an oracle under the same limits.

Run: python benchmarks/prefix_hits.py. The policy and the prefix tracker run on random traffic against emulated caches
and a simulated clock, without sockets; the figures are reproducible. Three kinds of traffic, at 10 and 40 readers:
steady shared prefixes (steady), unseen prompts during the middle third (flood), all caches cleared half-way (forget).
The oracle gives the policy the true content of each cache; the mode of estimates is called "guess"; with "neither" the
policy relies on its own history. Several routers share the readers and know nothing of each other.
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

BLOCK_SIZE = 16
ROUTERS = 3
SECONDS = {10: 20.0, 40: 6.0}  # by number of readers, for equally many requests
# High load: below it every prompt is read at its home and knowledge of the caches makes no difference.
RATE_PER_READER = 30.0
TOKENS_PER_S = 20_000.0
CACHE_BLOCKS = 2_500
KINDS = ("steady", "flood", "forget")
MODES = ("oracle", "events", "guess", "neither")


@dataclass
class Reader:
    """A reader with its cache and one queue."""

    cache: BlockCache
    idle_at_us: int = 0
    events: list[tuple[int, bytes]] = field(default_factory=list)


@dataclass
class Tally:
    """Totals of one run: prompt tokens, cached tokens, and the times that reads took, queueing included."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    read_times_us: list[int] = field(default_factory=list)


def draw_prompt(
    rng: random.Random, kind: str, now_s: float, sessions: dict[int, list[int]], seconds: float
) -> tuple[str, str, list[int], int]:
    """Draw a prompt: name of the shared prefix, session, tokens, and length of the shared prefix.

    Prefixes that are used repeatedly are named `t` and their number, the prefix of a prompt not seen before `u` and a
    random number.
    """
    if kind == "flood" and seconds / 3 < now_s < 2 * seconds / 3 and rng.random() < 0.3:
        number = rng.randrange(10**9)
        return f"u{number}", f"su{number}", [rng.randrange(50_000) for _ in range(1_500)], 1_400
    prefix_number = min(int(rng.paretovariate(0.9)) - 1, 199)
    # Arbitrary tokens, from 800 to 2,399 of them, but always the same for a prefix number.
    base = [prefix_number * 7 + at % 911 for at in range(800 + prefix_number * 37 % 1_600)]
    session = rng.randrange(400)
    turns = sessions.setdefault(prefix_number * 1_000 + session, [])
    turns += [rng.randrange(50_000) for _ in range(rng.randrange(40, 200))]
    if len(turns) > 900:
        turns.clear()
    return f"t{prefix_number}", f"s{prefix_number}-{session}", base + turns, len(base)


def run_case(kind: str, readers: int, mode: str) -> Tally:
    rng, seconds = random.Random(f"{kind} {readers}"), SECONDS[readers]
    reader_states: list[Reader] = []
    for _ in range(readers):
        sent: list[tuple[int, bytes]] = []
        reader_states.append(
            Reader(
                BlockCache(
                    CACHE_BLOCKS,
                    BLOCK_SIZE,
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
    trackers = [
        PrefixTracker(
            ByteTokenizer(), BLOCK_SIZE, 1_000_000, use_estimates=mode == "guess", use_events=mode == "events"
        )
        for _ in range(ROUTERS)
    ]
    names = [str(n + 1) for n in range(readers)]
    for tracker in trackers:
        tracker.set_publishers(names)
    queue: list[tuple[int, int, str, Any]] = []
    order = 0

    def schedule(at_us: int, what: str, value: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(queue, (at_us, order, what, value))

    tally, number = Tally(), 0
    sessions: dict[int, list[int]] = {}
    requests: dict[int, tuple[int, list[int], PromptBlocks, dict[str, float]]] = {}
    received = [[0] * readers for _ in range(ROUTERS)]
    at = 0.0
    while (at := at + rng.expovariate(RATE_PER_READER * readers)) < seconds:
        schedule(int(at * 1e6), "ask", None)
    if kind == "forget":
        schedule(int(seconds / 2 * 1e6), "forget", None)

    def act(router: int, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.SetTimer):
                schedule(action.due_us, "timer", (router, action.token))
            elif isinstance(action, i.Send):
                _, tokens, blocks, kept_by_server = requests[action.request]
                if action.server == 10_000:
                    schedule(now_us + 1_000, "written", (router, action.request))
                    continue
                reader = reader_states[action.server - 1]
                packed = pack_tokens(tokens)
                cached = reader.cache.cached_prefix_blocks(list(blocks.hashes)) * BLOCK_SIZE
                reader.cache.insert(list(blocks.hashes), packed)
                started = max(now_us, reader.idle_at_us)
                reader.idle_at_us = started + int((len(tokens) - cached) / TOKENS_PER_S * 1e6)
                tally.prompt_tokens += len(tokens)
                tally.cached_tokens += cached
                tally.read_times_us.append(reader.idle_at_us - now_us)
                schedule(reader.idle_at_us, "read", (router, action.request, action.server, cached, now_us))

    while queue:
        now_us, _, what, value = heapq.heappop(queue)
        if what == "ask":
            number += 1
            router = rng.randrange(ROUTERS)
            prefix, session, tokens, shared = draw_prompt(rng, kind, now_us / 1e6, sessions, seconds)
            blocks = PromptBlocks(reader_states[0].cache.prompt_hashes(pack_tokens(tokens)), len(tokens))
            tracker = trackers[router]
            if mode == "events":
                for n, reader in enumerate(reader_states):
                    for seq, data in reader.events[received[router][n] :]:
                        tracker.receive_batch(now_us, names[n], seq, msgspec.msgpack.decode(data, type=Batch))
                    received[router][n] = len(reader.events)
            if mode == "oracle":
                kept_by_server = {
                    name: float(reader.cache.cached_prefix_blocks(list(blocks.hashes)) * BLOCK_SIZE)
                    for name, reader in zip(names, reader_states, strict=True)
                }
            elif mode == "neither":
                kept_by_server = {}
            else:
                kept_by_server = tracker.predict_from_index(now_us, blocks, names, float(len(tokens)))
            requests[number] = (router, list(tokens), blocks, kept_by_server)
            kept = {int(name): value for name, value in kept_by_server.items()} if mode != "neither" else None
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
                        prefix=prefix,
                        session=session,
                        kept=kept,
                    ),
                ),
            )
        elif what == "read":
            router, request, server, cached, sent_us = value
            _, tokens, blocks, kept_by_server = requests[request]
            if mode == "guess":
                trackers[router].record_read(names[server - 1], blocks, len(tokens), cached, None)
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
            for reader in reader_states:
                reader.cache.clear()
    return tally


@click.command()
@click.option("--routers", default=ROUTERS, help="Number of routers that share the readers.")
@click.option("--seconds", type=float, help="Seconds of traffic instead of the defaults.")
@click.option("--readers", type=int, multiple=True, default=tuple(SECONDS), help="Numbers of readers.")
def main(routers: int, seconds: float | None, readers: tuple[int, ...]) -> None:
    """Run every kind of traffic in every mode."""
    global ROUTERS
    ROUTERS = routers
    for size in readers:
        SECONDS[size] = seconds or SECONDS[size]
        for kind in KINDS:
            tallies = {mode: run_case(kind, size, mode) for mode in MODES}
            oracle = tallies["oracle"]
            rows = []
            for mode, tally in tallies.items():
                rate = tally.cached_tokens / tally.prompt_tokens
                mean = sum(tally.read_times_us) / len(tally.read_times_us)
                work = (tally.prompt_tokens - tally.cached_tokens) / (oracle.prompt_tokens - oracle.cached_tokens)
                of_best = rate / (oracle.cached_tokens / oracle.prompt_tokens)
                read_time = mean / (sum(oracle.read_times_us) / len(oracle.read_times_us))
                rows.append(
                    f"{mode} {rate:.3f} ({of_best:.2f} of the oracle; work {work:.2f}, read time {read_time:.2f})"
                )
            print(f"{size} readers, {kind}: " + "; ".join(rows))


if __name__ == "__main__":
    main()
