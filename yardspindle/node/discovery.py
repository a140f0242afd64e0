"""Follows discovery: the whole list, then watches, each asked for as soon as the last one is answered.

An agent that is silent past the wait it was given, that cannot be reached or that says what cannot be read is asked
anew, for the whole list; the list in force stays until then.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yardspindle.core.hosts.host_list import HostList, ListAnswer
from yardspindle.core.request import patience
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient
from yardspindle.node import log
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Cancelled, DeadlineExceeded, Task
from yardspindle.runtime.world import World

PATH = b"/discovery/hosts"
CONNECT_US = patience.SILENT_AGENT_US
LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=4_194_304)


class Discovery:
    """One dispatcher's subscription."""

    def __init__(self, world: World, address: tuple[str, int], hosts: HostList, news: Callable[[], None]) -> None:
        """`news` is called when the list has changed."""
        self._world = world
        self._address = address
        self._hosts = hosts
        self._news = news
        self._task: Task | None = None
        self.answered = world.signal()

    def start(self) -> None:
        """Begin to follow."""
        self._task = self._world.spawn("discovery", self._run, self._address)

    def move(self, address: tuple[str, int]) -> None:
        """Follow at another address from now on."""
        if address != self._address:
            self._address = address
            if self._task is not None:
                self._task.cancel()
            self.start()

    def _run(self, address: tuple[str, int]) -> None:
        client = HttpClient(self._world, CONNECT_US, 60_000_000, limits=LIMITS)
        whole, failures = True, 0
        try:
            while True:
                try:
                    changed = self._ask(client, address, whole)
                    whole, failures = False, 0
                except (ConnectError, ExchangeBroken, DeadlineExceeded, ValueError) as error:
                    if not failures:
                        log.line("discovery is not heard", fault=f"{type(error).__name__}: {error}")
                    whole, failures = True, failures + 1
                    if failures > 1:
                        self._world.sleep_until(self._world.now_us() + patience.AGENT_PAUSE_US)
                    continue
                if changed:
                    self._news()
                self.answered.set()
        except Cancelled:
            client.close_all()
            raise

    def _ask(self, client: HttpClient, address: tuple[str, int], whole: bool) -> bool:
        """One call; whether the list changed. Raises ValueError for what cannot be read."""
        target, wait_us = PATH, 0
        if not whole:
            wait_us = patience.WATCH_US
            target = PATH + b"?index=%d&wait=%d" % (self._hosts.revision, wait_us // 1_000)
        with self._world.deadline(self._world.now_us() + wait_us + patience.SILENT_AGENT_US):
            response = client.request(*address, b"GET", target, [])
        try:
            with self._world.deadline(self._world.now_us() + patience.LIST_US):
                body = response.read_all()
        finally:
            response.close()
        if response.head.status != 200:
            raise ValueError(f"status {response.head.status}")
        try:
            answer = msgspec.json.decode(body, type=ListAnswer)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None
        return self._hosts.take(answer)
