"""Follows discovery: the whole list, then watches, each asked for as soon as the last one is answered.

An agent that is silent past the wait it was given, that cannot be reached or that says what cannot be read or believed
is asked anew, for the whole list, on a new connection; the list in force stays until then.
"""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.core.hosts.discovery_schedule import DiscoverySchedule
from yardspindle.core.hosts.host_list import HostList, parse_answer
from yardspindle.core.request import timeouts
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, Response
from yardspindle.node import log
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Cancelled, DeadlineExceeded, Signal, Task
from yardspindle.runtime.world import World

HOSTS_PATH = b"/discovery/hosts"
CONNECT_TIMEOUT_US = timeouts.AGENT_RESPONSE_US
RESPONSE_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=4_194_304)


class DiscoveryClient:
    """One dispatcher's subscription."""

    def __init__(
        self, world: World, address: tuple[str, int], hosts: HostList, on_change: Callable[[], None], answered: Signal
    ) -> None:
        """`news` is called when the list has changed; `answered` is set at each answer that can be read."""
        self._world = world
        self._address = address
        self._hosts = hosts
        self._news = on_change
        self._task: Task | None = None
        self._answered = answered

    def start(self) -> None:
        """Begin to follow."""
        self._task = self._world.spawn("discovery", self._run, self._address)

    def change_address(self, address: tuple[str, int]) -> None:
        """Follow at another address from now on; before the start, from then on."""
        if address != self._address:
            self._address = address
            self._hosts.discovery_moved(self._world.now_us())
            if self._task is not None:
                self._task.cancel()
                self.start()

    def _run(self, address: tuple[str, int]) -> None:
        client = HttpClient(self._world, CONNECT_TIMEOUT_US, 60_000_000, limits=RESPONSE_LIMITS)
        calls = DiscoverySchedule()
        try:
            while True:
                pause_us = self._call(client, address, calls)
                if pause_us:
                    self._world.sleep_until(self._world.now_us() + pause_us)
        except Cancelled:
            client.close_all()
            raise

    def _call(self, client: HttpClient, address: tuple[str, int], calls: DiscoverySchedule) -> int:
        """One call and what comes of it; the pause before the next."""
        began_us = self._world.now_us()
        try:
            changed = self._ask(client, address, calls.full_list)
        except (ConnectError, ExchangeBroken, DeadlineExceeded, ValueError) as error:
            pause_us, told = calls.failed(self._world.now_us())
            if told:
                log.write("discovery is not heard", fault=f"{type(error).__name__}: {error}")
            return pause_us
        if changed:
            self._news()
        self._answered.set()
        if self._hosts.rejection:
            pause_us, told = calls.rejected(self._world.now_us())
            if told:
                log.write("discovery's list is not taken", fault=self._hosts.rejection, held=self._hosts.revision)
            return pause_us
        return calls.applied(began_us, self._world.now_us(), changed)

    def _ask(self, client: HttpClient, address: tuple[str, int], whole: bool) -> bool:
        """One call; whether the list changed. Raises ValueError for what cannot be read."""
        target, wait_us = HOSTS_PATH, 0
        if whole:
            client.close_all()
        else:
            wait_us = timeouts.WATCH_WAIT_US
            target = HOSTS_PATH + b"?index=%d&wait=%d" % (self._hosts.revision, wait_us // 1_000)
        with self._world.deadline(self._world.now_us() + wait_us + timeouts.AGENT_RESPONSE_US):
            response = client.request(*address, b"GET", target, [])
        try:
            body = self._body(response)
        finally:
            response.close()
        if response.head.status != 200:
            raise ValueError(f"status {response.head.status}")
        answer = parse_answer(body)
        if whole and not answer.complete:
            raise ValueError("changes, where the whole list was asked for")
        return self._hosts.apply(answer, self._world.now_us(), requested_full=whole)

    def _body(self, response: Response) -> bytes:
        """The whole body, in however small pieces it comes. Raises ValueError when it does not end in time."""
        body = bytearray()
        now = self._world.now_us()
        end_us, slice_us = now + timeouts.LIST_BODY_US, now + timeouts.LIST_SLICE_US
        while True:
            with self._world.deadline(min(now + timeouts.LIST_CHUNK_US, end_us)):
                piece = response.read()
            if piece is None:
                return bytes(body)
            body += piece
            now = self._world.now_us()
            if now >= end_us:
                raise ValueError("an answer that does not end")
            if now >= slice_us:
                self._world.sleep_until(now)
                slice_us = self._world.now_us() + timeouts.LIST_SLICE_US
