"""Streams of the soak test that hosts spoil or write slowly, and the checks of what became of them.

The times of these faults come from a generator of their own, so that a seed draws the same other faults as without.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import monotonic
from typing import Any

from tests.crossing_ledger import CLIENTS, Ledger, Request
from tests.crossing_messages import EVENT, HEAD, chunk

WAIT_LIMIT_S = 5.0  # the platform's: a client that waits longer after the last event of a running host is lost
SPOIL_S = 8.0  # how long a host goes on with a stream that it has spoilt
FAULT_S = (0.5, 2.0)
MAX_SOUND_EVENTS = 4
EVENT_PAUSE_S = 0.02
SLOW_PIECES, SLOW_PAUSE_S = 12, 0.45  # one event, written for longer than a host may be silent
GIGABYTE = b"40000000"
KINDS = ("spoil", "trickle")
# Bytes that are written once, others that are repeated, and the pause between.
FORMS: dict[str, tuple[bytes, bytes, float]] = {
    "gigabytes": (GIGABYTE + b"\r\n", EVENT, 0.1),
    "zeros": (b"", b"0", 0.4),
    "extension": (b"39;", b"a", 0.05),
    "extension of gigabytes": (GIGABYTE + b";", b"a", 0.1),
    "trailer": (b"0\r\nx: ", b"y", 0.1),
    "trailers": (b"0\r\n", b"x: y\r\n", 0.6),
}
Wait = Callable[[socket.socket, float], None]  # raises when the dispatcher closes the connection
Record = Callable[..., None]


def spoil(sock: socket.socket, wait: Wait, record: Record) -> None:
    """Write some events and then what is no answer, until the dispatcher closes the connection."""
    form = random.choice(sorted(FORMS))
    once, again, pause_s = FORMS[form]
    sock.sendall(HEAD + chunk(EVENT))
    for _ in range(random.randrange(MAX_SOUND_EVENTS)):
        wait(sock, EVENT_PAUSE_S)
        sock.sendall(chunk(EVENT))
    since = monotonic()
    record("spoilt", since=since, form=form)
    sock.sendall(once)
    while monotonic() < since + SPOIL_S:
        wait(sock, pause_s)
        sock.sendall(again)


def trickle(sock: socket.socket, wait: Wait) -> None:
    """Write an event in small pieces, with a pause before each; the others follow as usual."""
    data = chunk(EVENT)
    size = -(-len(data) // SLOW_PIECES)
    for at in range(0, len(data), size):
        wait(sock, SLOW_PAUSE_S)
        sock.sendall(data[at : at + size])


@dataclass(frozen=True, slots=True)
class Disturbances:
    """What may end a stream though its host goes on with it."""

    ended: bool  # the dispatcher was told to end, or killed
    frozen: Sequence[tuple[str, float, float]]  # host, begin and end of each stop

    def cover(self, row: dict[str, Any], request: Request) -> bool:
        """Whether the end of a slow stream, as its host recorded it, is nobody's fault."""
        stopped = any(
            host == row["host"] and begun <= row["at"] and to >= row["begun"] for host, begun, to in self.frozen
        )
        return self.ended or stopped or row["reset"] or request.left_at is not None


def judge_streams(ledger: Ledger, rows: list[dict[str, Any]], disturbances: Disturbances) -> list[str]:
    """Violations: clients that waited too long for a spoilt stream's end, and slow streams that were cut off."""
    requests = {request.id.decode(): request for request in ledger.requests}
    found = []
    for row in rows:
        request = requests.get(row["id"])
        if request is None or not request.answers or request.left_at is not None:
            continue
        at, message = request.answers[0]
        if message.status != 200 or message.whole:
            continue
        if row["what"] == "spoilt" and ledger.excess_s(row["since"], at, WAIT_LIMIT_S, row["host"], CLIENTS) > 0:
            found.append(
                f"{row['id']}: left waiting for {at - row['since']:.2f} s after the last event ({row['form']})"
            )
        elif row["what"] == "slow stream cut" and not disturbances.cover(row, request):
            found.append(f"{row['id']}: a slow stream cut while its host writes")
    return found


class StreamFaults:
    """Draws when writers spoil their streams or write them slowly."""

    def __init__(self, seed: int, seconds: float, count: int) -> None:
        self._random = random.Random(f"streams {seed}")
        self._times = [(self._random.uniform(0.0, seconds), KINDS[at % len(KINDS)]) for at in range(count)]

    async def run(self, inject: Callable[[str, int, float], None]) -> None:
        """Call `inject` with the kind, a number that chooses the writer, and the seconds, for each at its time."""
        await asyncio.gather(*(self._inject(at, kind, inject) for at, kind in self._times))

    async def _inject(self, at: float, kind: str, inject: Callable[[str, int, float], None]) -> None:
        choice, seconds = self._random.randrange(1 << 16), self._random.uniform(*FAULT_S)
        await asyncio.sleep(at)
        inject(kind, choice, seconds)
