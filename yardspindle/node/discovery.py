"""Client of the discovery agent, the platform's service that lists the model hosts.

It fetches the whole host list, then watches for changes by long polling. What is called when, and how long an answer is
waited for, is decided in core/hosts/discovery_schedule.py: a call that is late is followed by another one, on another
connection, and goes on. Answers that are malformed or implausible do not change the list in force.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.core.hosts.discovery_schedule import DiscoveryCall, DiscoverySchedule, Query, Step
from yardspindle.core.hosts.host_list import HostList, ListAnswer, parse_answer
from yardspindle.core.request import timeouts
from yardspindle.engine.connection import PendingResponse
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, Response
from yardspindle.node import log
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal, Task
from yardspindle.runtime.world import World

HOSTS_PATH = b"/discovery/hosts"
IDLE_TIMEOUT_US = 60_000_000  # a connection that was idle for longer is not reused
RESPONSE_LIMITS = http1.Limits(line=8_192, head=16_384, headers=64, body=4_194_304)  # bytes, but for `headers`
MAX_UNFINISHED_BYTES = 2 * RESPONSE_LIMITS.body  # of all answers that are being read


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
        self._answered = answered
        self._task: Task | None = None
        self._session: AgentSession | None = None

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
                if self._session is not None:
                    self._session.close()
                self.start()

    def close_spare_call(self) -> bool:
        """End a call that can be spared; returns whether that has freed a descriptor."""
        return self._session is not None and self._session.close_spare_call()

    def _run(self, address: tuple[str, int]) -> None:
        session = self._session = AgentSession(self._world, address, self._hosts, self._on_change, self._answered)
        try:
            session.run()
        finally:
            session.close()


@dataclass(slots=True)
class OpenCall:
    """A call under way."""

    task: Task
    pending: PendingResponse

    def cut_off(self) -> bool:
        """End the call; returns whether that has freed its file descriptor."""
        self.pending.abort()
        self.task.cancel()
        return self.pending.is_sent


class AgentSession:
    """The calls to the agent at one address."""

    def __init__(
        self, world: World, address: tuple[str, int], hosts: HostList, on_change: Callable[[], None], answered: Signal
    ) -> None:
        """See `DiscoveryClient`."""
        self._world = world
        self._address = address
        self._hosts = hosts
        self._on_change = on_change
        self._answered = answered
        self._client = HttpClient(
            world, timeouts.ANSWER_LIMIT_US, IDLE_TIMEOUT_US, max_pooled=1, limits=RESPONSE_LIMITS, essential=True
        )
        self._schedule = DiscoverySchedule()
        self._open: dict[DiscoveryCall, OpenCall] = {}
        self._progress = world.signal()  # set when a call has ended or its answer has begun
        self._unfinished_bytes = 0
        self._closed = False
        self._error: Exception | None = None  # an error of a call's task that was not expected

    def run(self) -> None:
        """Make the calls until the session is closed."""
        while not self._closed:
            self._progress = self._world.signal()
            step = self._schedule.advance(self._world.now_us(), self._hosts.revision)
            self._perform(step)
            if step.log:
                log.write("discovery is not heard", fault="no answer in time", calls=self._schedule.open_calls)
            with contextlib.suppress(DeadlineExceeded), self._world.deadline(self._schedule.next_event_us()):
                self._progress.wait()
            if self._error is not None:
                raise self._error

    def close(self) -> None:
        """End all calls; answers that arrive later are ignored."""
        self._closed = True
        for open_call in self._open.values():
            open_call.cut_off()
        self._open.clear()
        self._client.close_all()

    def close_spare_call(self) -> bool:
        """End a call that can be spared; returns whether that has freed a descriptor."""
        call = self._schedule.spare()
        return call is not None and self._open.pop(call).cut_off()

    def _perform(self, step: Step) -> None:
        for call in step.cut_off:
            self._open.pop(call).cut_off()
        if step.begin is not None:
            pending = PendingResponse()
            task = self._world.spawn("discovery call", self._call, step.begin, pending)
            self._open[step.begin] = OpenCall(task, pending)

    def _call(self, call: DiscoveryCall, pending: PendingResponse) -> None:
        """Make one call and apply its answer; an error that was not expected is raised in `run`."""
        try:
            self._make(call, pending)
        except Exception as error:
            self._error = error
        finally:
            self._progress.set()

    def _make(self, call: DiscoveryCall, pending: PendingResponse) -> None:
        try:
            answer = self._fetch(call, pending)
        except (ConnectError, ExchangeBroken, ValueError) as error:
            if self._open.pop(call, None) is not None:
                self._failed(call, error)
            return
        if self._open.pop(call, None) is not None:
            self._apply(call, answer)

    def _failed(self, call: DiscoveryCall, error: Exception) -> None:
        """A call failed in any way, also by a malformed answer; the list in force stays."""
        step = self._schedule.failed(call, self._world.now_us())
        if step.log:
            log.write("discovery is not heard", fault=f"{type(error).__name__}: {error}")

    def _apply(self, call: DiscoveryCall, answer: ListAnswer) -> None:
        now, before = self._world.now_us(), self._hosts.revision
        changed = False
        if not call.is_outdated(answer.revision, before):
            changed = self._hosts.apply(answer, now, requested_full=call.query is Query.FULL_LIST)
            if changed:
                self._on_change()
            self._answered.set()
            if self._hosts.rejection:
                if self._schedule.rejected(call, now).log:
                    # Rejected as implausible; the list of revision `held` stays in force.
                    log.write("discovery's list is not taken", fault=self._hosts.rejection, held=self._hosts.revision)
                return
        step = self._schedule.applied(call, now, changed, went_back=self._hosts.revision < before)
        self._perform(step)
        if step.log:
            log.write("discovery answers late", took_ms=(now - call.began_us) // 1_000, waited_ms=call.wait_us // 1_000)

    def _fetch(self, call: DiscoveryCall, pending: PendingResponse) -> ListAnswer:
        """Make one call. Raises ValueError for a malformed answer."""
        target = HOSTS_PATH
        if call.query is not Query.FULL_LIST:
            target += b"?index=%d&wait=%d" % (call.revision, call.wait_us // 1_000)
        if call.query is not Query.WATCH:
            # On a new connection, no answer to an earlier call can be taken for its own.
            self._client.close_all()
        response = self._client.request(
            *self._address, b"GET", target, [], descriptor_us=timeouts.AGENT_RESPONSE_US, pending=pending
        )
        call.head_us = self._world.now_us()
        self._progress.set()
        try:
            body = self._read_body(response)
        finally:
            response.close()
        if response.head.status != 200:
            raise ValueError(f"status {response.head.status}")
        answer = parse_answer(body)
        if call.query is Query.FULL_LIST and not answer.complete:
            raise ValueError("got changes where the whole list was requested")
        return answer

    def _read_body(self, response: Response) -> bytes:
        """Read the whole body. Raises ValueError if all answers that are being read together are too long.

        Other tasks run after each LIST_SLICE_US: a large list that arrives fast, in small pieces, would block them.
        """
        body = bytearray()
        slice_us = self._world.now_us() + timeouts.LIST_SLICE_US
        try:
            while (chunk := response.read()) is not None:
                body += chunk
                self._unfinished_bytes += len(chunk)
                if self._unfinished_bytes > MAX_UNFINISHED_BYTES:
                    raise ValueError("unfinished answers are too long")
                now = self._world.now_us()
                if now >= slice_us:
                    self._world.sleep_until(now)
                    slice_us = self._world.now_us() + timeouts.LIST_SLICE_US
            return bytes(body)
        finally:
            self._unfinished_bytes -= len(body)
