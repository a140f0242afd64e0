"""Slow discovery in the soak test: when its agents are slow, how they answer, and from when a drain counts as told.

The times of these faults come from a generator of their own, so that a seed draws the same other faults as without.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from time import monotonic

# The platform's: from the moment at which discovery has a change and can be reached, until the change counts as told.
TOLD_S = 6.0
LATE_S = (0.1, 0.3, 0.6, 1.0, 2.0, 3.0, 4.0, 4.8)  # of an answer as a whole, or of its first piece
PIECES = 25
MAX_DRAIN_DELAY_S = 2.0
DURATION_S = (6.0, 12.0)
LAST_BEGIN = 0.5  # of the run


@dataclass(frozen=True, slots=True)
class Answer:
    """An agent's answer, and the draining hosts that it tells of."""

    data: bytes
    draining: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AgentConnection:
    """A dispatcher's connection to its agent, at the agent."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def is_open(self) -> bool:
        """Whether the dispatcher has not closed it."""
        return not (self.reader.at_eof() or self.reader.exception() or self.writer.is_closing())


@dataclass(frozen=True, slots=True)
class AgentCall:
    """A dispatcher's call to its agent: the revision that it knows (-1: none), and until when it may wait."""

    index: int
    until: float


async def serve_calls(
    answer: Callable[[AgentConnection, AgentCall], Awaitable[None]],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve the calls on one connection, one after the other."""
    connection = AgentConnection(reader, writer)
    try:
        while True:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            query = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&") if part)
            until = monotonic() + int(query.get(b"wait", 0)) / 1_000
            await answer(connection, AgentCall(int(query.get(b"index", -1)), until))
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass  # the dispatcher disconnected, or the run is over
    finally:
        writer.close()


@dataclass(frozen=True, slots=True)
class SlowSpan:
    """A time in which all agents are slow."""

    begin_s: float  # from the beginning of the run
    duration_s: float
    late_s: float  # how long an agent takes for the first byte of an answer
    over_s: float  # how long it takes from the first to the last byte
    as_written: bool  # the answer has the list as it is when its first byte is written, not when the call came
    drain_delay_s: float  # how long after the begin a host drains
    choice: int  # which one of the hosts


def draw_spans(random: Random, seconds: float, count: int) -> list[SlowSpan]:
    """Draw the times in which agents are slow."""
    spans = []
    for _ in range(count):
        total_s, form = random.choice(LATE_S), random.choice(("late", "in pieces", "both"))
        late_s = {"late": total_s, "in pieces": 0.0, "both": total_s / 3}[form]
        spans.append(
            SlowSpan(
                random.uniform(0.0, LAST_BEGIN * seconds),
                random.uniform(*DURATION_S),
                late_s,
                total_s - late_s,
                random.random() < 0.5,
                random.uniform(0.0, MAX_DRAIN_DELAY_S),
                random.randrange(1 << 16),
            )
        )
    return spans


class SlowDiscovery:
    """Makes all agents slow at times, and lets a host drain meanwhile."""

    def __init__(self, spans: Sequence[SlowSpan]) -> None:
        self._spans = spans
        self._active: list[SlowSpan] = []
        self.silences: list[tuple[float, float]] = []  # when the agents were silent
        self.late_answers = 0

    async def run(self, drain: Callable[[int], None], log: Callable[[str], None]) -> None:
        await asyncio.gather(*(self._play(span, drain, log) for span in self._spans))

    async def _play(self, span: SlowSpan, drain: Callable[[int], None], log: Callable[[str], None]) -> None:
        await asyncio.sleep(span.begin_s)
        log(
            f"agents slow for {span.duration_s:.2f} s: {span.late_s:.2f} s late, in pieces over {span.over_s:.2f} s, "
            f"as {'written' if span.as_written else 'called'}"
        )
        self._active.append(span)
        await asyncio.sleep(span.drain_delay_s)
        drain(span.choice)
        await asyncio.sleep(span.duration_s - span.drain_delay_s)
        self._active.remove(span)
        log("agents as before")

    @property
    def is_slow(self) -> bool:
        """Whether the agents are slow now."""
        return bool(self._active)

    async def send(self, compose: Callable[[], Answer], connection: AgentConnection) -> Answer:
        """Send an answer slowly; returns it if the dispatcher still heard its end, else one that tells nothing."""
        span, answer = self._active[-1], compose()
        self.late_answers += 1
        await asyncio.sleep(span.late_s)
        if span.as_written:
            answer = compose()
        size = -(-len(answer.data) // PIECES) if span.over_s else len(answer.data)
        for at in range(0, len(answer.data), size):
            if at:
                await asyncio.sleep(span.over_s / (PIECES - 1))
            await connection.write(answer.data[at : at + size])
        return answer if connection.is_open() else Answer(b"", ())


def told_at_latest(since: float, silences: Sequence[tuple[float, float]]) -> float:
    """When a change counts as told that discovery has from `since` on, though it may have come to nobody.

    `silences`: when discovery could not be reached.
    """
    latest = since + TOLD_S
    for begin, end in sorted(silences):
        if begin < latest and end > since:
            latest = max(latest, end + TOLD_S)
    return latest
