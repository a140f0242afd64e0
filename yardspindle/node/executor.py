"""Carries out the core's commands by HTTP calls to model hosts, and passes events to the policy by direct calls.

The operators' platform, which runs this program, defines the calls. The core (`EdgeCore`) follows each request; the
policy picks its reader (prefill) and writer (decode host). No command blocks: what waits for a peer has its own task.
Events for the policy are queued and handled after the commands, in order, as if it ran in another process (a planner).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.evidence import PROVES_ACCEPTED
from yardspindle.core.request.planning import Decisions, PlanningSession
from yardspindle.core.request.recent_ids import RecentIds
from yardspindle.engine.http_client import ExchangeBroken
from yardspindle.node import log
from yardspindle.node.host_client import (
    EVENT_ENDS,
    EVENT_PREFIX,
    AttemptResult,
    CallCancelled,
    HostClient,
    ResponseStream,
    cached_tokens,
)
from yardspindle.node.place_tasks import PlaceTasks
from yardspindle.node.probe_tasks import ProbeTasks
from yardspindle.node.release_tasks import ReleaseTasks
from yardspindle.node.running_request import RunningRequest
from yardspindle.node.stream_guard import StreamGuard
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import StreamError, World

EPOCH = 1  # number of the policy's run; constant, as the policy starts once, with this process
MAX_FIRST_EVENT_BYTES = 262_144  # until the end of a stream's first event


class Executor:
    """Performs the I/O that the core and the policy decide on."""

    def __init__(self, world: World, core: EdgeCore, session: PlanningSession, hosts: HostClient) -> None:
        """`world`: interface to clock and sockets; `session` passes events to the policy; `hosts` calls model hosts."""
        self._world = world
        self._core = core
        self._session = session
        self._hosts = hosts
        self.running: dict[int, RunningRequest] = {}
        self.request_ids: dict[int, bytes] = {}  # of requests that run, or of which a host may still hold something
        self.sent_ids = RecentIds()
        self.releases = ReleaseTasks(world, core, hosts, self.request_ids, self.perform, self.forget)
        self._probes = ProbeTasks(world, core, hosts, self.request_ids, self.perform, self.forget)
        self.places = PlaceTasks(world, core, hosts, self.request_ids, self.perform, self.forget)
        self._events: deque[i.Event] = deque()
        self._deciding = False
        self._timer_us = 0  # when the pending timer is due; 0: none is set
        self._cancel_timer: Callable[[], None] = lambda: None

    def perform(self, commands: list[c.Command]) -> None:
        """Carry out commands in order, then let the policy handle the events that they queued."""
        for command in commands:
            self._carry_out(command)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                now = self._world.now_us()
                events = list(self._events)
                self._events.clear()
                self._apply_decisions(self._session.handle_events(now, events))
        finally:
            self._deciding = False
        self._set_timer()

    def update_members(self, members: i.Members) -> None:
        """Pass a changed server list to the policy."""
        self._events.append(members)
        self.perform([])

    def _apply_decisions(self, decisions: Decisions) -> None:
        for text in decisions.logs:
            log.write("policy", says=text)
        for fault in decisions.errors:
            log.write("the policy failed", fault=fault)
        for action in decisions.actions:
            self.perform(self._core.apply_action(self._world.now_us(), EPOCH, action))

    def _set_timer(self) -> None:
        due_us = self._session.next_due_us()
        if due_us is not None and due_us != self._timer_us:
            self._cancel_timer()  # two pending timers would each set another when due, without end
            self._timer_us = due_us
            self._cancel_timer = self._world.call_at(due_us, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_us = 0

        def decide() -> None:
            try:
                self._deciding = True
                self._apply_decisions(self._session.tick(self._world.now_us()))
            finally:
                self._deciding = False
                self.perform([])  # sets the next timer, also after an error

        log.run_guarded(decide)

    def _carry_out(self, command: c.Command) -> None:
        match command:
            case c.NotifyPlanner(event):
                self._events.append(event)
            case c.Read() | c.Write():
                running = self.running[command.request]
                if isinstance(command, c.Read):
                    running.read_written[command.attempt] = self._world.signal()
                running.attempts[command.attempt] = self._world.spawn("attempt", self._attempt, command, running)
            case c.Abort(request, attempt):
                known = self.running.get(request)
                if known is not None and attempt in known.attempts:
                    known.attempts.pop(attempt).cancel()
                    log.write(
                        "attempt called off",
                        id=self._request_id(request),
                        at=command.server.name,
                        stage=_stage(command.server),
                        written=attempt in known.written_attempts,
                        why=command.reason.value,
                        **known.stream_log_fields(self._world.now_us()),
                    )
            case c.FlushStream(request):
                known = self.running.get(request)
                if known is not None:
                    self._world.spawn("flush stream", self._flush_stream, request, known)
            case c.ReservePlace():
                running = self.running[command.request]
                self.places.start(command, running)
            case c.AwaitLateAnswer(request, place):
                self.places.give_up(request, place)
            case c.AbortPlace(request, place):
                self.places.abort(request, place)
            case c.SendRequestRelease(release, server):
                self.releases.start(release, server)
            case c.SendProbe(probe, server):
                self._probes.start(probe, server)
            case c.Answer(request):
                known = self.running.get(request)
                if known is not None:
                    known.answer = command
                    known.done.set()
            case c.CloseIdle(server):
                self._hosts.http.close_idle(server.host, server.port)
            case c.Warn(request, rule):  # a rule of the core overrode an action of the policy
                log.write("interlock", rule=rule, id=self._request_id(request))
            case c.ReportViolation(rule, request, text):  # found by the core's rule checker
                log.write("rule broken", rule=rule, text=text, id=self._request_id(request))
            case c.ReleaseState() | c.ReleasePlace() | c.ReleaseAll() | c.SendRelease() | c.TrackUnreadCall():
                raise AssertionError("release command that the core should have handled itself")

    def _request_id(self, request: int) -> str:
        return self.request_ids.get(request, b"?").decode()

    # --- attempts

    def _attempt(self, command: c.Read | c.Write, running: RunningRequest) -> None:
        """The task of an attempt: make it, log a failure, and report its result to the core."""
        began_us = self._world.now_us()
        try:
            result = self._run_attempt(command, running)
        except Exception as fault:  # for example no memory: it may have run, and its end must be reported all the same
            result = AttemptResult(i.Status.ERROR, detail=f"{type(fault).__name__}: {fault}")
        finally:
            signal = running.read_written.pop(command.attempt, None)
            if signal is not None:
                signal.set()
        if result is None:
            return
        running.attempts.pop(command.attempt, None)
        if result.status in (i.Status.CONNECT_FAILED, i.Status.RESET) and not result.no_descriptor:
            self._core.server_unresponsive(self._world.now_us(), command.server.number)
        elif result.status in PROVES_ACCEPTED or result.status is i.Status.CANCELLED:  # cancelled: had begun to stream
            self._core.server_answered(self._world.now_us(), command.server.number, began_us)
        if result.status is i.Status.READ:
            running.trace.read_ended(self._world.now_us(), result.note)  # a read's note: its cached prompt tokens
        if result.status not in (i.Status.READ, i.Status.SERVED):
            log.write(
                "attempt failed",
                id=running.request_id.decode(),
                at=command.server.name,
                stage=_stage(command.server),
                status=result.status.value,
                **running.stream_log_fields(self._world.now_us()),
                detail=result.detail,
            )
        self.perform(
            self._core.attempt_ended(
                self._world.now_us(), command.request, command.attempt, result.status, result.note, stale=result.stale
            )
        )

    def _run_attempt(self, command: c.Read | c.Write, running: RunningRequest) -> AttemptResult | None:
        """Make an attempt; returns its result, or None if the request was over before its stream began."""
        try:
            with self._world.deadline(command.deadline_us):
                headers = [(b"req-id", running.request_id), (b"content-type", b"application/json")]
                # A write's connect time may be shorter: the reader holds the prompt's KV cache for it meanwhile.
                connect_us = None if isinstance(command, c.Read) else self._core.lifecycle.held_connect_timeout_us
                outcome = self._hosts.send(
                    command.server,
                    running.exchange.head.target,
                    headers,
                    running.exchange.body,
                    lambda: self._on_written(command, running),
                    lambda: self._on_first_byte(command),
                    lambda: self._late_headers(command, running),
                    connect_us,
                    timeouts.REUSE_PAUSE_US,
                )
                if isinstance(outcome, AttemptResult):
                    return outcome
                try:
                    first_event = self._read_first_event(outcome)
                except BaseException:
                    outcome.abort()
                    raise
        except CallCancelled:
            return AttemptResult(i.Status.MOOT, detail="cancelled while connecting")
        except DeadlineExceeded:
            return AttemptResult(i.Status.TIMEOUT)
        except ExchangeBroken as error:
            return AttemptResult(i.Status.RESET, detail=str(error))
        except http1.ProtocolError as error:
            return AttemptResult(i.Status.ERROR, detail=error.reason)
        try:
            return self._relay(command, running, outcome, first_event)
        finally:
            outcome.close()

    def _late_headers(self, command: c.Read | c.Write, running: RunningRequest) -> http1.Headers:
        """Wait, once connected, until no release of the request is pending: it could free the state of this attempt."""
        while True:
            if not self._core.lifecycle.remaining_ms(self._world.now_us(), command.request, command.attempt):
                raise CallCancelled
            running.exchange.await_unread_input()
            if not self._core.release_pending(command.request) and not self.releases.in_flight(command.request):
                return [(b"req-deadline-ms", b"%d" % self._start_sending(command))]
            self._world.sleep_until(self._world.now_us() + timeouts.RELEASE_POLL_US)

    def _start_sending(self, command: c.Read | c.Write) -> int:  # the milliseconds left for the attempt
        remaining_ms = self._core.start_sending(self._world.now_us(), command.request, command.attempt)
        if not remaining_ms:
            raise CallCancelled
        return remaining_ms

    def _on_written(self, command: c.Read | c.Write, running: RunningRequest) -> None:
        self.sent_ids.add(running.request_id)
        self._core.attempt_written(command.request, command.attempt)
        running.written_attempts.add(command.attempt)
        running.trace.attempt_written(self._world.now_us(), command.server, isinstance(command, c.Read))
        signal = running.read_written.get(command.attempt)
        if signal is not None:
            signal.set()

    def _on_first_byte(self, command: c.Read | c.Write) -> None:
        self._core.attempt_answered(command.request, command.attempt)

    def _read_first_event(self, stream: ResponseStream) -> bytes:
        """Read a stream up to the end of its first event. Raises ExchangeBroken and ProtocolError."""
        received, limit = b"", self._world.deadline(self._world.now_us() + timeouts.FIRST_EVENT_US)
        while not any(end in received for end in EVENT_ENDS):
            try:
                with limit:
                    data = stream.read(timeouts.FIRST_PARTIAL_EVENT_US)
            except DeadlineExceeded:
                if not limit.passed:
                    raise
                data = stream.complete_events()
                if not data:
                    raise http1.ProtocolError("first event did not end in time") from None
            if data is None:
                raise http1.ProtocolError("stream ended before its first event")
            received += data
            if not received.startswith(EVENT_PREFIX[: len(received)]) or len(received) > MAX_FIRST_EVENT_BYTES:
                raise http1.ProtocolError("stream does not begin with an event")
        stream.check()  # nothing was passed on yet: another host may still serve the request
        return received

    def _relay(
        self, command: c.Read | c.Write, running: RunningRequest, stream: ResponseStream, first_event: bytes
    ) -> AttemptResult | None:
        """Relay a stream to the client until it ends; returns None if the request was over before the first token."""
        started, commands = self._core.first_token(self._world.now_us(), command.request, command.attempt)
        self.perform(commands)
        if not started:
            return None
        exchange, running.stream = running.exchange, stream
        running.trace.first_event_us = self._world.now_us()
        guard = StreamGuard(self._world, running, stream)
        try:
            head = exchange.start(200, [(b"content-type", b"text/event-stream")])
            exchange.drop_body()
            exchange.send(first_event, head)
            running.awaiting_host_since_us, tail = self._world.now_us(), first_event
            while (data := stream.read(timeouts.PARTIAL_EVENT_US)) is not None:
                running.awaiting_host_since_us = 0
                exchange.send(data)
                running.awaiting_host_since_us, tail = self._world.now_us(), (tail + data)[-512:]
            return AttemptResult(i.Status.SERVED, cached_tokens(tail))  # 512 bytes: the count may span pieces
        except ExchangeBroken as error:
            if guard.expired:
                return AttemptResult(i.Status.RESET, detail="stream idle: its host has written nothing for too long")
            return AttemptResult(i.Status.RESET, detail=f"stream broken: {error}")
        except http1.ProtocolError as error:  # not RESET: the host answers, so it is not judged unresponsive
            return AttemptResult(i.Status.ERROR, detail=f"stream spoilt: {error}")  # malformed
        except StreamError:  # the client disconnected or stalled; the exchange notifies the core
            exchange.client_disconnected()
            return AttemptResult(i.Status.CANCELLED)
        finally:
            guard.stop()

    def _flush_stream(self, request: int, running: RunningRequest) -> None:
        """Give the stream's task the turns to pass on what has arrived, then report that nothing more is there."""
        for _ in range(timeouts.FINAL_POLLS):
            if running.stream is None or running.stream.is_idle():
                break
            self._world.sleep_until(self._world.now_us() + timeouts.FINAL_POLL_US)
        self.perform(self._core.stream_flushed(self._world.now_us(), request))

    def forget(self, request: int) -> None:
        """Drop the id of a request that neither runs nor has releases to do."""
        if request not in self.running and not self._core.tracks_release(request):
            self.request_ids.pop(request, None)


def _stage(server: Server) -> str:
    return "prefill" if server.role is i.Role.READ else "decode"
