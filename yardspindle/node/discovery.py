"""Client of the discovery agent, the platform's service that lists the model hosts.

It fetches the whole host list, then watches for changes by long polling, one call after the other.

If the agent does not answer within the wait that the call asked for, cannot be reached, or sends an answer that is
malformed or implausible, the whole list is fetched again on a new connection; the list in force stays until then.
"""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.core.hosts.discovery_schedule import DiscoverySchedule
from yardspindle.core.hosts.host_list import HostList, parse_answer
from yardspindle.core.request import timeouts
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, Response
from yardspindle.node import log
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal, Task
from yardspindle.runtime.world import World

HOSTS_PATH = b"/discovery/hosts"
CONNECT_TIMEOUT_US = timeouts.AGENT_RESPONSE_US
IDLE_TIMEOUT_US = 60_000_000  # a connection that was idle for longer is not reused
RESPONSE_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=4_194_304)  # bytes, but for `headers`


class DiscoveryClient:
    """Keeps the host list of a dispatcher (router process) up to date."""

    def __init__(
        self, world: World, address: tuple[str, int], hosts: HostList, on_change: Callable[[], None], answered: Signal
    ) -> None:
        """`on_change` is called when the list has changed; `answered` is set at each answer that can be parsed.

        `world`: the interface to clock, sockets, files and randomness.
        """
        self._world = world
        self._address = address
        self._hosts = hosts
        self._on_change = on_change
        self._task: Task | None = None
        self._answered = answered

    def start(self) -> None:
        """Start the task that makes the calls."""
        self._task = self._world.spawn_service("discovery", self._run, self._address)

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to an agent at another address; before `start`, it takes effect then."""
        if address != self._address:
            self._address = address
            self._hosts.discovery_moved(self._world.now_us())
            if self._task is not None:
                self._task.cancel()
                self.start()

    def _run(self, address: tuple[str, int]) -> None:
        client = HttpClient(self._world, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, limits=RESPONSE_LIMITS, essential=True)
        schedule = DiscoverySchedule()
        try:
            while True:
                pause_us = self._poll(client, address, schedule)
                if pause_us:
                    self._world.sleep_until(self._world.now_us() + pause_us)
        finally:
            client.close_all()

    def _poll(self, client: HttpClient, address: tuple[str, int], schedule: DiscoverySchedule) -> int:
        """Make one call and apply its result; returns the pause before the next call."""
        began_us = self._world.now_us()
        try:
            changed = self._fetch(client, address, schedule.full_list)
        except (ConnectError, ExchangeBroken, DeadlineExceeded, ValueError) as error:
            pause_us, worth_logging = schedule.failed(self._world.now_us())
            if worth_logging:
                # The call failed in any way, also by a malformed answer; the list in force stays.
                log.write("discovery is not heard", fault=f"{type(error).__name__}: {error}")
            return pause_us
        if changed:
            self._on_change()
        self._answered.set()
        if self._hosts.rejection:
            pause_us, worth_logging = schedule.rejected(self._world.now_us())
            if worth_logging:
                # Rejected as implausible; the list of revision `held` stays in force.
                log.write("discovery's list is not taken", fault=self._hosts.rejection, held=self._hosts.revision)
            return pause_us
        return schedule.applied(began_us, self._world.now_us(), changed)

    def _fetch(self, client: HttpClient, address: tuple[str, int], full_list: bool) -> bool:
        """Make one call; returns whether the list changed. Raises ValueError for a malformed answer."""
        target, wait_us = HOSTS_PATH, 0
        if full_list:
            client.close_all()
        else:
            wait_us = timeouts.WATCH_WAIT_US
            target = HOSTS_PATH + b"?index=%d&wait=%d" % (self._hosts.revision, wait_us // 1_000)
        with self._world.deadline(self._world.now_us() + wait_us + timeouts.AGENT_RESPONSE_US):
            response = client.request(*address, b"GET", target, [])
        try:
            body = self._read_body(response)
        finally:
            response.close()
        if response.head.status != 200:
            raise ValueError(f"status {response.head.status}")
        answer = parse_answer(body)
        if full_list and not answer.complete:
            raise ValueError("got changes where the whole list was requested")
        return self._hosts.apply(answer, self._world.now_us(), requested_full=full_list)

    def _read_body(self, response: Response) -> bytes:
        """Read the whole body. Raises ValueError if it does not end in time.

        Other tasks run after each LIST_SLICE_US: a large list that arrives fast, in small pieces, would block them.
        """
        body = bytearray()
        now = self._world.now_us()
        end_us, slice_us = now + timeouts.LIST_BODY_US, now + timeouts.LIST_SLICE_US
        while True:
            with self._world.deadline(min(now + timeouts.LIST_CHUNK_US, end_us)):
                chunk = response.read()
            if chunk is None:
                return bytes(body)
            body += chunk
            now = self._world.now_us()
            if now >= end_us:
                raise ValueError("response body did not end in time")
            if now >= slice_us:
                self._world.sleep_until(now)
                slice_us = self._world.now_us() + timeouts.LIST_SLICE_US
