"""The duty `sweep/CELL`: engines of a cell let go of what they hold for edges that are gone for good."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from yardspindle.core.fleet.kv import Delete
from yardspindle.core.fleet.members import FleetKeys, Member
from yardspindle.core.fleet.sweep import EndedEpochs, holds_to_release
from yardspindle.core.hosts.directory import Server
from yardspindle.core.hosts.server_list import ServerList
from yardspindle.engine import vllm
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient
from yardspindle.fleet.follow import Follower
from yardspindle.fleet.page import ask
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Channel, DeadlineExceeded
from yardspindle.runtime.world import World

LOOK_US = 20_000
CALL_US = 1_000_000  # for one call of an engine
CONNECT_US = 300_000
IDLE_US = 4_000_000
AT_ONCE_MOST = 16  # engines asked side by side: a silent one holds up no other

log = structlog.get_logger("yardspindle.steward.sweep")


class SweepDuty:
    """See Duty."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        follower: Follower,
        roster: ServerList,
        duty: str,
        act: Callable[[], int | None],
    ) -> None:
        """`act`: the fence to act with now, or None."""
        self._world, self._store, self._keys, self._follower = world, store, keys, follower
        self._roster, self._duty, self._act = roster, duty, act
        self._cell = int(duty.partition("/")[2])
        self._http = HttpClient(world, CONNECT_US, IDLE_US)
        self._fates = EndedEpochs()
        self._asking: set[str] = set()
        self._without: set[str] = set()  # engines that lack the extension
        self._busy: set[str] = set()
        self._swept_us = 0
        self._turns: Channel[None] = world.channel(AT_ONCE_MOST)
        self.released = 0

    def run(self) -> None:
        """See Duty. What is under way when the duty ends has its fence, and is refused once a higher one was met."""
        tasks = []
        try:
            while True:
                now = self._world.now_us()
                self._fates.update(now, self._follower.view)
                for epoch, member in self._fates.due_probes(now):
                    if epoch not in self._asking:
                        self._asking.add(epoch)
                        tasks.append(self._world.spawn("ask a page", self._ask, epoch, member))
                # The first time at once, whether or not anybody is gone: engines then refuse earlier owners.
                if (
                    not self._swept_us
                    or self._fates.confirmed_dead()
                    and now >= self._fates.next_sweep_us(now, self._swept_us)
                ):
                    self._swept_us = now
                    for server in self._roster.addresses():
                        if self._of_cell(server) and server.name not in self._without | self._busy:
                            self._busy.add(server.name)
                            tasks.append(self._world.spawn("sweep an engine", self._sweep, server))
                for epoch in self._fates.expired(now):
                    tasks.append(self._world.spawn("forget an epoch", self._forget, epoch))
                tasks = [task for task in tasks if not task.done]
                self._world.sleep_until(now + LOOK_US)
        finally:
            for task in tasks:
                task.cancel()
            self._http.close_all()

    def _of_cell(self, server: Server) -> bool:
        return any(row.name == server.name and row.cell == self._cell for row in self._roster.servers)

    def _ask(self, epoch: str, member: Member) -> None:
        try:
            answer, word = ask(self._http, member.page)
            found = word.member.epoch if word is not None else ""
            if self._fates.record_probe(self._world.now_us(), epoch, answer, found):
                log.info("an edge is gone for good", edge=member.name, epoch=epoch, proof=answer.value)
                self._swept_us = 0  # sweep at once
        finally:
            self._asking.discard(epoch)

    def _sweep(self, server: Server) -> None:
        self._turns.put(None)
        try:
            if (headers := self._headers()) is None:
                return
            with self._world.deadline(self._world.now_us() + CALL_US):
                status, data = self._call(server, b"GET", vllm.HOLDS, headers)
            if status == 409:
                log.warning("an engine has met a higher fence", engine=server.name)
                return
            if status in (404, 405):
                log.info("engine without the extension: its holds end by themselves", engine=server.name)
                self._without.add(server.name)
                return
            holds = [row.id for row in msgspec.json.decode(data, type=vllm.HoldsAnswer).holds]
            for hold in holds_to_release(holds, self._fates.confirmed_dead()):
                for root in (vllm.STATES, vllm.PLACES):
                    if (headers := self._headers()) is None:
                        return
                    with self._world.deadline(self._world.now_us() + CALL_US):
                        status, _ = self._call(server, b"DELETE", root + b"/" + hold.encode(), headers)
                    if status == 409:
                        log.warning("an engine has met a higher fence", engine=server.name)
                        return
                self.released += 1
                log.info("let go of what an edge left", engine=server.name, hold=hold)
        except (ConnectError, ExchangeBroken, DeadlineExceeded, msgspec.DecodeError) as error:
            log.info("engine not swept", engine=server.name, reason=str(error) or "no answer in time")
        finally:
            self._turns.get()
            self._busy.discard(server.name)

    def _headers(self) -> http1.Headers | None:
        """The fence to order with, looked at anew before each order; None when it is not ours any more."""
        fence = self._act()
        if fence is None:
            return None
        return [(vllm.DUTY_HEADER, self._duty.encode()), (vllm.FENCE_HEADER, str(fence).encode())]

    def _call(self, server: Server, method: bytes, target: bytes, headers: http1.Headers) -> tuple[int, bytes]:
        response = self._http.request(server.host, server.port, method, target, headers)
        try:
            return response.head.status, response.read_all()
        finally:
            response.close()

    def _forget(self, epoch: str) -> None:
        fence = self._act()
        if fence is not None:
            try:
                self._store.txn(self._keys.with_fence(self._duty, fence, Delete(self._keys.epoch(epoch))))
            except StoreError as error:
                log.info("an epoch's record stays for now", epoch=epoch, reason=str(error))
