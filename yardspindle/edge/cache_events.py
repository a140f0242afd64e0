"""Subscribes to the KV cache events of every reader (prefill server) that publishes them, and fetches missed batches.

The events say which prompt blocks a reader has stored and removed; the prefix tracker predicts cache hits from them.
Each publishing reader has one task with a ZeroMQ subscription in vLLM's format: topic, sequence number, payload.
Missed batches are requested from the reader's replay socket. `core/prefix/cache_feed.py` interprets the events.
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

REPLAY_TIMEOUT_US = 1_000_000  # a replay that brings no message for this long has ended
MAX_REPLAY_BATCHES = 20_000  # batches (messages with some events each) accepted from one replay
SUBSCRIBE_RETRY_US = 500_000  # between two tries to open a subscription
SEQUENCE_NUMBER_BYTES = 8

log = structlog.get_logger("yardspindle.edge.events")


class CacheEventSubscriber:
    """Keeps one subscription for each server that publishes cache events and passes them to the prefix tracker."""

    def __init__(self, world: World, tracker: PrefixTracker) -> None:
        """Subscribes to nothing until `update_servers` is called. `world`: the interface to clock and sockets."""
        self._world = world
        self._tracker = tracker
        # By server name; the addresses are those of the event socket and of the replay socket.
        self._subscriptions: dict[str, tuple[str, str | None, Task]] = {}
        self._replaying: set[str] = set()
        self._up_since_ms: dict[str, float] = {}
        self.malformed_count = 0

    def update_servers(self, servers: list[Server]) -> None:
        """Apply a new server list: subscribe to the publishers on it, unsubscribe from all others."""
        publishing = {s.name: s for s in servers if s.events is not None} if self._tracker.use_events else {}
        for name, (events_address, replay_address, task) in list(self._subscriptions.items()):
            server = publishing.get(name)
            if server is None or (server.events, server.replay) != (events_address, replay_address):
                task.cancel()
                del self._subscriptions[name]
                self._tracker.subscription_lost(self._world.now_us(), name)
        for server in servers:
            if server.up_since_ms > self._up_since_ms.setdefault(server.name, server.up_since_ms):
                self._up_since_ms[server.name] = server.up_since_ms
                self._tracker.engine_restarted(server.name)
        self._tracker.set_publishers(publishing)
        for name, server in publishing.items():
            if name not in self._subscriptions and server.events is not None:
                task = self._world.spawn_service("cache events", self._follow, name, server.events, server.replay)
                self._subscriptions[name] = (server.events, server.replay, task)

    def _follow(self, name: str, events_address: str, replay_address: str | None) -> None:
        socket = self._subscribe(name, events_address)
        try:
            self._receive_events(name, socket, replay_address)
        finally:
            socket.close()

    def _subscribe(self, name: str, address: str) -> MessageSocket:
        """Open the subscription; without it the server's cache would stay unknown, so tries until a socket is free."""
        logged_reason = ""
        while True:
            try:
                return self._world.message_socket("sub", *split_address(address))
            except OSError as error:
                if str(error) != logged_reason:
                    logged_reason = str(error)
                    log.error("cache events cannot be followed yet", server=name, reason=logged_reason)
            self._world.sleep_until(self._world.now_us() + SUBSCRIBE_RETRY_US)

    def _receive_events(self, name: str, socket: MessageSocket, replay_address: str | None) -> None:
        while True:
            try:
                parts = socket.receive()
            except Closed:
                return
            numbered_batch = self._decode(name, parts[-2:])
            if numbered_batch is None:
                continue
            replay_start = self._tracker.receive_batch(self._world.now_us(), name, *numbered_batch)
            if replay_start is not None and replay_address is not None and name not in self._replaying:
                self._replaying.add(name)
                self._world.spawn("replay", self._replay, name, replay_address, replay_start)

    def _replay(self, name: str, address: str, start: int) -> None:
        batches: list[tuple[int, Batch]] = []
        try:
            socket = self._world.message_socket("dealer", *split_address(address))
        except OSError as error:  # the next gap in the numbers starts another replay
            log.error("cache events cannot be replayed now", server=name, reason=str(error))
            self._replaying.discard(name)
            self._tracker.receive_replay(self._world.now_us(), name, batches)
            return
        try:
            socket.send([b"", start.to_bytes(SEQUENCE_NUMBER_BYTES, "big")])
            while len(batches) < MAX_REPLAY_BATCHES:
                with self._world.deadline(self._world.now_us() + REPLAY_TIMEOUT_US):
                    parts = socket.receive()
                if not parts[-1]:
                    break  # the publisher ends a replay with an empty payload
                numbered_batch = self._decode(name, parts[-2:])
                if numbered_batch is not None:
                    batches.append(numbered_batch)
        except (DeadlineExceeded, Closed):
            pass
        finally:
            socket.close()
            self._replaying.discard(name)
        log.info("cache events replayed", server=name, start=start, batches=len(batches))
        self._tracker.receive_replay(self._world.now_us(), name, batches)

    def _decode(self, name: str, parts: list[bytes]) -> tuple[int, Batch] | None:
        try:
            number, payload = parts
            if len(number) != SEQUENCE_NUMBER_BYTES:
                raise ValueError(f"the sequence number has {len(number)} bytes, not {SEQUENCE_NUMBER_BYTES}")
            return int.from_bytes(number, "big"), msgspec.msgpack.decode(payload, type=Batch)
        except (ValueError, msgspec.DecodeError) as error:
            self.malformed_count += 1
            log.warning("cache events not understood", server=name, reason=str(error))
            return None
