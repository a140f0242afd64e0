"""The duty `sweep/CELL`: makes a cell's engines release what they hold for edges that are confirmed dead.

A duty is a background task of the fleet with one owner (a steward process) at a time; a cell is a group of servers in
the server list. An edge is a process that holds client connections; for its requests, engines (model servers) hold
states (KV cache to be fetched) and places (reserved memory), which an edge that crashed never releases. An epoch is one
run of an edge.
"""

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
from yardspindle.fleet.fleet_watcher import FleetWatcher
from yardspindle.fleet.member_page import probe_member
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Channel, DeadlineExceeded
from yardspindle.runtime.world import World

POLL_US = 20_000  # between two evaluations
CALL_TIMEOUT_US = 1_000_000  # for one call to an engine
CONNECT_TIMEOUT_US = 300_000
IDLE_TIMEOUT_US = 4_000_000
MAX_CONCURRENT = 16  # engines swept in parallel, so that an unresponsive one does not delay the others

log = structlog.get_logger("yardspindle.steward.sweep")


class SweepDuty:
    """The sweep duty of one cell (implements the interface `Duty` of steward/app.py)."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        watcher: FleetWatcher,
        server_list: ServerList,
        duty: str,
        fence_to_act: Callable[[], int | None],
    ) -> None:
        """`fence_to_act`: the fencing token to call with, or None if this process does not own the duty.

        `world`: the interface to clock, sockets, files and randomness.
        """
        self._world, self._store, self._keys, self._watcher = world, store, keys, watcher
        self._server_list, self._duty, self._fence_to_act = server_list, duty, fence_to_act
        self._cell = int(duty.partition("/")[2])
        self._http = HttpClient(world, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US)
        self._epochs = EndedEpochs()
        self._probing: set[str] = set()
        self._unsupported: set[str] = set()  # engines without the call that lists what they hold (`vllm.HOLDS`)
        self._busy: set[str] = set()  # engines that are being swept
        self._swept_us = 0
        self._slots: Channel[None] = world.channel(MAX_CONCURRENT)
        self.released = 0

    def run(self) -> None:
        """Find dead edges and sweep the cell's engines until cancelled (`Duty`).

        An edge whose registration has ended is probed at its status page; it is dead if the address refuses connections
        or another epoch answers. When no engine can still hold anything for a dead epoch, its record is deleted.

        Calls in flight when the duty ends carry its fence, a number that grows with each owner: an engine that has
        seen a higher one rejects them with status 409.
        """
        tasks = []
        try:
            while True:
                now_us = self._world.now_us()
                self._epochs.update(now_us, self._watcher.view)
                for epoch, member in self._epochs.due_probes(now_us):
                    if epoch not in self._probing:
                        self._probing.add(epoch)
                        tasks.append(self._world.spawn("probe a page", self._probe, epoch, member))
                # The first sweep runs even if no edge is dead: once engines see its fence, they reject earlier owners.
                if (
                    not self._swept_us
                    or self._epochs.confirmed_dead()
                    and now_us >= self._epochs.next_sweep_us(now_us, self._swept_us)
                ):
                    self._swept_us = now_us
                    for server in self._server_list.addresses():
                        if self._in_cell(server) and server.name not in self._unsupported | self._busy:
                            self._busy.add(server.name)
                            tasks.append(self._world.spawn("sweep an engine", self._sweep_engine, server))
                for epoch in self._epochs.expired(now_us):
                    tasks.append(self._world.spawn("delete an epoch", self._delete_epoch, epoch))
                tasks = [task for task in tasks if not task.done]
                self._world.sleep_until(now_us + POLL_US)
        finally:
            for task in tasks:
                task.cancel()
            self._http.close_all()

    def _in_cell(self, server: Server) -> bool:
        return any(listed.name == server.name and listed.cell == self._cell for listed in self._server_list.servers)

    def _probe(self, epoch: str, member: Member) -> None:
        try:
            result, answer = probe_member(self._http, member.page)
            found = answer.member.epoch if answer is not None else ""
            if self._epochs.record_probe(self._world.now_us(), epoch, result, found):
                # The epoch is confirmed dead; `proof`: the result of the probe.
                log.info("an edge is gone for good", edge=member.name, epoch=epoch, proof=result.value)
                self._swept_us = 0  # triggers an immediate sweep
        finally:
            self._probing.discard(epoch)

    def _sweep_engine(self, server: Server) -> None:
        self._slots.put(None)
        try:
            if (headers := self._fence_headers()) is None:
                return
            with self._world.deadline(self._world.now_us() + CALL_TIMEOUT_US):
                status, data = self._call(server, b"GET", vllm.HOLDS, headers)
            if status == 409:
                log.warning("engine has seen a higher fence", engine=server.name)
                return
            if status in (404, 405):
                log.info("engine lacks the holds extension; its holds will time out", engine=server.name)
                self._unsupported.add(server.name)
                return
            holds = [hold.id for hold in msgspec.json.decode(data, type=vllm.HoldsAnswer).holds]
            for hold in holds_to_release(holds, self._epochs.confirmed_dead()):
                # The hold is under one of the two paths; releasing an unknown id does no harm, so its kind is ignored.
                for root in (vllm.STATES, vllm.PLACES):
                    if (headers := self._fence_headers()) is None:
                        return
                    with self._world.deadline(self._world.now_us() + CALL_TIMEOUT_US):
                        status, _ = self._call(server, b"DELETE", root + b"/" + hold.encode(), headers)
                    if status == 409:
                        log.warning("engine has seen a higher fence", engine=server.name)
                        return
                self.released += 1
                log.info("released hold of a dead edge", engine=server.name, hold=hold)
        except (ConnectError, ExchangeBroken, DeadlineExceeded, msgspec.DecodeError) as error:
            log.info("engine not swept", engine=server.name, reason=str(error) or "no answer in time")
        finally:
            self._slots.get()
            self._busy.discard(server.name)

    def _fence_headers(self) -> http1.Headers | None:
        """The headers that carry the fence, checked again before each call; None if the duty is no longer owned."""
        fence = self._fence_to_act()
        if fence is None:
            return None
        return [(vllm.DUTY_HEADER, self._duty.encode()), (vllm.FENCE_HEADER, str(fence).encode())]

    def _call(self, server: Server, method: bytes, target: bytes, headers: http1.Headers) -> tuple[int, bytes]:
        response = self._http.request(server.host, server.port, method, target, headers)
        try:
            return response.head.status, response.read_all()
        finally:
            response.close()

    def _delete_epoch(self, epoch: str) -> None:
        fence = self._fence_to_act()
        if fence is not None:
            try:
                self._store.txn(self._keys.with_fence(self._duty, fence, Delete(self._keys.epoch(epoch))))
            except StoreError as error:
                log.info("epoch record could not be deleted", epoch=epoch, reason=str(error))
