"""Follows the cache events of every reader that publishes them, and asks again for those that were missed.

One task a box subscribes by ZeroMQ as vLLM publishes: topic, number, payload. A missed batch is asked for at the
box's replay socket. What any of it means is the core's to say (`core/texts/cache_feed.py`).
"""

from __future__ import annotations

import msgspec
import structlog

from yardspindle.core.config import split_address
from yardspindle.core.hosts.directory import Server
from yardspindle.core.prefix.cache_feed import Batch
from yardspindle.core.prefix.prefix_tracker import PrefixTracker
from yardspindle.runtime.scheduler import Closed, DeadlineExceeded, Task
from yardspindle.runtime.world import MessageSocket, World

REPLAY_TIMEOUT_US = 1_000_000  # without a message for so long, an asked replay is over
MAX_REPLAY_BATCHES = 20_000  # batches taken of one replay
SEQUENCE_NUMBER_BYTES = 8

log = structlog.get_logger("yardspindle.edge.events")


class CacheEventSubscriber:
    """Keeps one subscription for each box that publishes."""

    def __init__(self, world: World, knowledge: PrefixTracker) -> None:
        """Nothing is followed before `listed`."""
        self._world = world
        self._knowledge = knowledge
        self._following: dict[str, tuple[str, str | None, Task, MessageSocket]] = {}
        self._replaying: set[str] = set()
        self._since: dict[str, float] = {}
        self.malformed_count = 0

    def update_servers(self, servers: list[Server]) -> None:
        """The server list: follow what is on it and publishes, leave the rest."""
        publishing = {s.name: s for s in servers if s.events is not None} if self._knowledge.use_events else {}
        for name, (address, replay, task, socket) in list(self._following.items()):
            server = publishing.get(name)
            if server is None or (server.events, server.replay) != (address, replay):
                socket.close()
                task.cancel()
                del self._following[name]
                self._knowledge.subscription_lost(self._world.now_us(), name)
        for server in servers:
            if server.up_since_ms > self._since.setdefault(server.name, server.up_since_ms):
                self._since[server.name] = server.up_since_ms
                self._knowledge.engine_restarted(server.name)
        self._knowledge.set_publishers(publishing)
        for name, server in publishing.items():
            if name not in self._following and server.events is not None:
                socket = self._world.message_socket("sub", *split_address(server.events))
                task = self._world.spawn("cache events", self._follow, name, socket, server.replay)
                self._following[name] = (server.events, server.replay, task, socket)

    def _follow(self, name: str, socket: MessageSocket, replay: str | None) -> None:
        while True:
            try:
                parts = socket.receive()
            except Closed:
                return
            got = self._decoded(name, parts[-2:])
            if got is None:
                continue
            wanted = self._knowledge.receive_batch(self._world.now_us(), name, *got)
            if wanted is not None and replay is not None and name not in self._replaying:
                self._replaying.add(name)
                self._world.spawn("replay", self._replay, name, replay, wanted)

    def _replay(self, name: str, address: str, start: int) -> None:
        batches: list[tuple[int, Batch]] = []
        socket = self._world.message_socket("dealer", *split_address(address))
        try:
            socket.send([b"", start.to_bytes(SEQUENCE_NUMBER_BYTES, "big")])
            while len(batches) < MAX_REPLAY_BATCHES:
                with self._world.deadline(self._world.now_us() + REPLAY_TIMEOUT_US):
                    parts = socket.receive()
                if not parts[-1]:
                    break  # the publisher's mark of the end
                got = self._decoded(name, parts[-2:])
                if got is not None:
                    batches.append(got)
        except (DeadlineExceeded, Closed):
            pass
        finally:
            socket.close()
            self._replaying.discard(name)
        log.info("cache events replayed", server=name, start=start, batches=len(batches))
        self._knowledge.receive_replay(self._world.now_us(), name, batches)

    def _decoded(self, name: str, parts: list[bytes]) -> tuple[int, Batch] | None:
        try:
            number, payload = parts
            if len(number) != SEQUENCE_NUMBER_BYTES:
                raise ValueError("the number is not of eight bytes")
            return int.from_bytes(number, "big"), msgspec.msgpack.decode(payload, type=Batch)
        except (ValueError, msgspec.DecodeError) as error:
            self.malformed_count += 1
            log.warning("cache events not understood", server=name, reason=str(error))
            return None
