"""Scripts of simulated runs: requests and faults, drawn from a seed as plain data.

A run depends on its script alone. A script can be printed, shrunk request by request and fault by fault, kept in a test
and run again. Faults often overlap: half of them begin during an earlier fault, and half of those have the same target,
so that rare combinations occur. An edge holds the client connections; its planner decides which engine does what.
"""

from __future__ import annotations

import random

from msgspec import Struct

EDGE_COUNT, RACK_COUNT, READERS_PER_RACK, WRITERS_PER_RACK = 2, 2, 2, 2
ENGINE_NAMES = tuple(
    f"{kind}{rack}-{number}"
    for rack in range(RACK_COUNT)
    for kind, count in (("r", READERS_PER_RACK), ("w", WRITERS_PER_RACK))
    for number in range(count)
)
EDGE_NAMES = tuple(f"edge{number}" for number in range(EDGE_COUNT))
PLANNER = "planner"
LINK_RECOVERY_US = 2_500_000  # the longest time until an edge has its link back after a cut
REQUEST_COUNT_RANGE = (50, 70)
FAULT_COUNT_RANGE = (5, 14)

# kind: (target, shortest duration, longest duration in ms). In the names, "box" is an engine, "move" a KV cache's
# transfer from reader to writer, "link" the connection between edge and planner, and "events" are cache events.
FAULT_KINDS: dict[str, tuple[str, int, int]] = {
    "box hangs": ("box", 50, 3_000),  # it accepts requests and answers none
    "box stalls": ("box", 20, 2_000),  # its process is stopped
    "box dies": ("box", 50, 4_000),  # and restarts cold
    "box slow": ("box", 100, 3_000),
    "box full": ("box", 50, 2_000),  # it refuses requests
    "box forgets": ("box", 0, 0),  # its prefix cache is cleared
    "box resets": ("box", 20, 500),  # it aborts its streams
    "box draining": ("box", 500, 3_000),
    "box gone": ("box", 500, 3_000),  # removed from the server list
    "rack dies": ("rack", 50, 3_000),  # and restarts together
    "rack hangs": ("rack", 50, 1_500),
    "all slow": ("", 200, 3_000),  # all engines at once
    "all forget": ("", 0, 0),
    "edge dies": ("edge", 50, 2_000),
    "edge stalls": ("edge", 20, 1_500),
    "edge clock": ("edge", 0, 0),  # it steps forwards or backwards
    "planner dies": ("", 50, 2_500),
    "planner stalls": ("", 20, 3_000),
    "planner clock": ("", 0, 0),  # it steps forwards or backwards
    "link reset": ("edge", 0, 0),
    "link cut up": ("edge", 20, 3_000),  # from edge to planner only
    "link cut down": ("edge", 20, 3_000),  # from planner to edge only
    "link slow": ("edge", 100, 3_000),
    "box cut there": ("edge box", 20, 3_000),  # from edge to engine only
    "box cut back": ("edge box", 20, 3_000),  # from engine to edge only
    "box connects refused": ("edge box", 20, 2_000),
    "box connects hang": ("edge box", 20, 2_000),
    "box connections reset": ("box", 0, 0),
    "box far": ("box", 100, 3_000),  # long latency to and from all edges
    "box narrow": ("box", 100, 3_000),  # low bandwidth to and from all edges
    "move cut": ("move", 20, 3_000),  # from writer to reader only: the writer's requests for the KV cache
    "events bad": ("box", 200, 4_000),  # lost, duplicated, reordered
    "list bad": ("", 100, 2_000),  # the server list has a wrong count
    "list half": ("", 20, 1_000),  # the server list is cut off in the middle
    "list missing": ("", 100, 2_000),  # the server list's file is gone
    "flood": ("", 0, 0),  # many requests at once
    "flood of hang-ups": ("", 0, 0),  # a flood whose clients hang up
    "half-closing clients": ("", 0, 0),  # a flood whose clients close their sending side and go on reading
}


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault: its kind, time, duration and targets.

    `factor` (1 to 20) is its strength: of slowness, latency, low bandwidth or a clock step; other kinds ignore it."""

    kind: str
    at_ms: int
    for_ms: int
    on: str = ""  # the target
    other: str = ""  # the other end, for a fault of a connection
    factor: float = 1.0

    def __str__(self) -> str:
        """One readable line."""
        what = " ".join((self.kind, *(name for name in (self.on, self.other) if name)))
        return f"{self.at_ms:6} ms  {what} for {self.for_ms} ms, factor {self.factor:.2f}"


class Script(Struct, frozen=True, forbid_unknown_fields=True):
    """All that a run depends on. `requests`: number and time (ms) of each."""

    seed: int
    requests: tuple[tuple[int, int], ...]
    faults: tuple[Fault, ...]


def draw_script(seed: int) -> Script:
    """Draw the script of a seed."""
    rng = random.Random(f"script {seed}")
    count = rng.randint(*REQUEST_COUNT_RANGE)
    rate_per_s = rng.choice((8.0, 20.0, 60.0, 200.0))
    at, requests = 0.0, []
    for number in range(count):
        at += rng.expovariate(rate_per_s) * 1_000
        requests.append((number, int(at)))
    faults: list[Fault] = []
    for _ in range(rng.randint(*FAULT_COUNT_RANGE)):
        faults.append(_draw_fault(rng, faults, int(at)))
    return Script(seed, tuple(requests), tuple(sorted(faults, key=lambda fault: fault.at_ms)))


def _draw_fault(rng: random.Random, before: list[Fault], last_ms: int) -> Fault:
    """Draw a fault. With probability 1/2 it begins during one of `before`, the faults drawn so far, or just after it.

    `last_ms` is the time of the last request."""
    kind = rng.choice(tuple(FAULT_KINDS))
    targets, shortest, longest = FAULT_KINDS[kind]
    for_ms = int(shortest + (longest - shortest) * rng.random() ** 2)  # short durations are more likely
    at_ms = rng.randint(100, max(last_ms, 101))
    on = other = ""
    earlier = rng.choice(before) if before and rng.random() < 0.5 else None
    if earlier is not None:
        at_ms = rng.randint(earlier.at_ms, earlier.at_ms + max(earlier.for_ms, 200))
    same_target = earlier is not None and rng.random() < 0.5
    if targets == "rack":
        on = str(rng.randrange(RACK_COUNT))
    elif targets == "edge":
        on = earlier.on if same_target and earlier is not None and earlier.on in EDGE_NAMES else rng.choice(EDGE_NAMES)
    elif targets in ("box", "edge box"):
        named = (
            [name for name in (earlier.on, earlier.other) if name in ENGINE_NAMES]
            if same_target and earlier is not None
            else []
        )
        on = named[0] if named else rng.choice(ENGINE_NAMES)
        other = rng.choice(EDGE_NAMES) if targets == "edge box" else ""
    elif targets == "move":
        on = rng.choice([name for name in ENGINE_NAMES if name[0] == "w"])
        other = rng.choice([name for name in ENGINE_NAMES if name[0] == "r" and name[1] == on[1]])
    return Fault(kind, at_ms, for_ms, on, other, round(1 + 19 * rng.random() ** 2, 2))


def overlapping_kinds(script: Script, after_ms: int = 500) -> list[tuple[str, str]]:
    """Pairs of kinds that overlap in time, counting `after_ms` after each; each pair sorted by name."""
    pairs = []
    for at, first in enumerate(script.faults):
        for second in script.faults[at + 1 :]:
            if second.at_ms <= first.at_ms + first.for_ms + after_ms:
                pairs.append((min(first.kind, second.kind), max(first.kind, second.kind)))
    return pairs


FAULT_PAIR_COUNT = len(FAULT_KINDS) * (len(FAULT_KINDS) + 1) // 2
