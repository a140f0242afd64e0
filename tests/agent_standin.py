"""Stand-in for a discovery agent on the virtual World, with faults for each phase of a call."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from tests.platform_standin import plain, read_request
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Signal
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream, StreamError

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PIECES = 25  # of an answer that is sent in pieces
Fault = Callable[["Agent", Stream, bytes], None]  # called instead of sending the answer, its last argument


class Agent:
    """Answers with a list of hosts; `fault` replaces the next `faulty_answers` answers."""

    def __init__(self, sim: Simulation, address: str, revision: int = 5, hosts: int = 2) -> None:
        self.sim, self.revision = sim, revision
        self.phases = {f"h{number}": "Ready" for number in range(hosts)}
        self.world = sim.program(f"agent {address}")
        self.fault: Fault | None = None
        self.faulty_answers = 0
        self.slow: Fault | None = None  # how all other answers are sent, if not at once
        self.tells_changes = False  # whether watches are answered with changes in place of the full list
        self.changed_at: dict[str, int] = {}  # the revision at which a host's entry changed last
        self.unreachable_until_us = (
            0  # when connections to the agent, refused before, were possible again; set by tests
        )
        self.fault_met: Signal = self.world.signal()  # set when a call meets the fault
        self.requests: list[tuple[int, bytes]] = []
        self.streams: list[Stream] = []
        self.extra_answers: list[bytes] = []  # additional answers, sent shortly after the next one
        self.long_polls = True
        self.complete = True
        self.fixed_body: bytes | None = None  # body in place of the list
        host, _, port = address.rpartition(":")
        self.listener = self.world.listen(host, int(port))
        self.world.spawn("accept", self.accept)

    def body(self, index: int = -1) -> bytes:
        """The full list, or the entries that changed since a revision."""
        if self.fixed_body is not None:
            return self.fixed_body
        whole = self.complete and not (self.tells_changes and 0 <= index <= self.revision)
        members = [
            {"id": name, "host_port": f"10.3.{n >> 8}.{n & 255}:9000", "flavor": "reads", "phase": phase}
            for n, (name, phase) in enumerate(self.phases.items())
            if whole or not self.complete or self.changed_at.get(name, -1) > index
        ]
        return json.dumps({"revision": self.revision, "complete": whole, "members": members}, indent=4).encode()

    def drain(self, host: str = "h0") -> None:
        self.phases[host], self.revision = "Terminating", self.revision + 1
        self.changed_at[host] = self.revision

    def sleep(self, microseconds: int) -> None:
        self.world.sleep_until(self.world.now_us() + microseconds)

    def accept(self) -> None:
        while True:
            self.world.spawn("serve", self.serve, self.listener.accept())

    def serve(self, stream: Stream) -> None:
        self.streams.append(stream)
        parser = http1.RequestParser()
        try:
            while (head := read_request(stream, parser)) is not None:
                self.requests.append((self.world.now_us(), head.target))
                query: dict[bytes, Any] = dict(
                    part.split(b"=") for part in head.target.partition(b"?")[2].split(b"&") if part
                )
                until = self.world.now_us() + int(query.get(b"wait", 0)) * 1_000
                index = int(query.get(b"index", -1))
                while (
                    self.long_polls
                    and index >= self.revision
                    and self.world.now_us() < until
                    and not self.faulty_answers
                ):
                    self.sleep(1_000)
                answer = plain(200, self.body(index))
                if self.faulty_answers and self.fault is not None:
                    self.faulty_answers -= 1
                    self.fault_met.set()
                    self.fault(self, stream, answer)
                    continue
                if self.slow is not None:
                    self.slow(self, stream, answer)
                else:
                    stream.write(answer)
                while self.extra_answers:
                    self.sleep(3_000)
                    stream.write(self.extra_answers.pop(0))
        except StreamError:
            pass
        stream.close()


# --- faults, by phase of the call


def silent(agent: Agent, stream: Stream, answer: bytes) -> None:
    agent.sleep(3_600_000_000)


def reset(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.abort()


def closed(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.close()


def after(part: float, then: Fault) -> Fault:
    """Send a part of the answer, then apply the fault."""

    def fault(agent: Agent, stream: Stream, answer: bytes) -> None:
        stream.write(answer[: round(part * len(answer))])
        agent.sleep(5_000)  # lets the sent part arrive
        then(agent, stream, answer)

    return fault


def instead(data: bytes) -> Fault:
    def fault(agent: Agent, stream: Stream, answer: bytes) -> None:
        stream.write(data)

    return fault


def with_body(body: bytes) -> Fault:
    return instead(plain(200, body))


def status(code: int) -> Fault:
    return instead(plain(code, b'{"revision":99,"complete":true,"members":[]}'))


def bytewise(every_us: int) -> Fault:
    """Send the answer one byte at a time."""

    def fault(agent: Agent, stream: Stream, answer: bytes) -> None:
        for at in range(len(answer)):
            stream.write(answer[at : at + 1])
            agent.sleep(every_us)

    return fault


def late(after_us: int, as_written: bool = False) -> Fault:
    """Send the answer late: the list as it was when the call came, or as it is when the answer is written."""

    def fault(agent: Agent, stream: Stream, answer: bytes) -> None:
        agent.sleep(after_us)
        stream.write(plain(200, agent.body()) if as_written else answer)

    return fault


def in_pieces(over_us: int, late_us: int = 0) -> Fault:
    """Send the answer in even pieces over a span, the first one at once or late."""

    def fault(agent: Agent, stream: Stream, answer: bytes) -> None:
        agent.sleep(late_us)
        size = -(-len(answer) // PIECES)
        for at in range(0, len(answer), size):
            if at:
                agent.sleep(over_us // (PIECES - 1))
            stream.write(answer[at : at + size])

    return fault


def endless_head(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.write(b"HTTP/1.1 200 OK\r\nx: ")
    while True:
        stream.write(b"y")
        agent.sleep(50_000)


def endless_body(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.write(ENDLESS)
    while True:
        stream.write(http1.write_chunk(b" "))
        agent.sleep(50_000)


def flood(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.write(ENDLESS)
    while True:
        stream.write(http1.write_chunk(b"[" * 32_000))


def last_byte_late(agent: Agent, stream: Stream, answer: bytes) -> None:
    stream.write(answer[:-1])
    agent.sleep(400_000)
    stream.write(answer[-1:])
