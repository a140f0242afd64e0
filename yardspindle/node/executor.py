"""Carries out the core's commands on the platform's sockets, and hands events to the policy by a direct call.

Commands never wait in the task that brings them: what waits for a peer is a task of its own. Events for the policy
are queued while commands are carried out and handled after them, in order, as they would be over a link.
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
from yardspindle.node.release_tasks import ReleaseTasks
from yardspindle.node.running_request import RunningRequest
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import StreamError, World

EPOCH = 1  # the one start of the one policy in this process
MAX_FIRST_EVENT_BYTES = 262_144  # bytes before the end of a stream's first event


class Executor:
    """The hands of the core."""

    def __init__(self, world: World, core: EdgeCore, session: PlanningSession, hosts: HostClient) -> None:
        """Events go to the session, attempts to the hosts."""
        self._world = world
        self._core = core
        self._session = session
        self._hosts = hosts
        self.running: dict[int, RunningRequest] = {}
        self.request_ids: dict[int, bytes] = {}  # of requests that run or are still being let go of
        self.releases = ReleaseTasks(world, core, hosts, self.request_ids, self.perform, self.forget)
        self.places_in_flight = 0  # places whose answer is out: they may be held
        self._events: deque[i.Event] = deque()
        self._deciding = False
        self._timer_us = 0  # when the one timer that is set is due; 0: none is
        self._cancel_timer: Callable[[], None] = _nothing

    def perform(self, commands: list[c.Command]) -> None:
        """Carry out commands, in order, then let the policy decide on what they tell it."""
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
                self._decided(self._session.handle_events(now, events))
        finally:
            self._deciding = False
        self._arm()

    def update_members(self, listed: i.Members) -> None:
        """News of the server list for the policy."""
        self._events.append(listed)
        self.perform([])

    def _decided(self, reply: Decisions) -> None:
        for text in reply.logs:
            log.write("policy", says=text)
        for fault in reply.errors:
            log.write("the policy failed", fault=fault)
        for action in reply.actions:
            self.perform(self._core.apply_action(self._world.now_us(), EPOCH, action))

    def _arm(self) -> None:
        due = self._session.next_due_us()
        if due is not None and due != self._timer_us:
            self._cancel_timer()  # a second one would set a third when it comes, and so on for good
            self._timer_us = due
            self._cancel_timer = self._world.call_at(due, self._due)

    def _due(self) -> None:
        self._timer_us = 0

        def decide() -> None:
            self._deciding = True
            try:
                self._decided(self._session.tick(self._world.now_us()))
            finally:
                self._deciding = False
            self.perform([])

        log.run_guarded(decide)

    def _carry_out(self, command: c.Command) -> None:
        match command:
            case c.NotifyPlanner(event):
                self._events.append(event)
            case c.Read() | c.Write():
                run = self.running[command.request]
                if isinstance(command, c.Read):
                    run.read_written[command.attempt] = self._world.signal()
                run.attempts[command.attempt] = self._world.spawn("attempt", self._attempt, command, run)
            case c.Abort(request, attempt):
                known = self.running.get(request)
                if known is not None and attempt in known.attempts:
                    known.attempts.pop(attempt).cancel()
                    log.write(
                        "attempt called off",
                        id=self._name(request),
                        at=command.server.name,
                        stage=_stage(command.server),
                        written=attempt in known.written_attempts,
                        why=command.reason.value,
                    )
            case c.FlushStream(request):
                known = self.running.get(request)
                if known is not None:
                    self._world.spawn("last words", self._last_words, request, known)
            case c.ReservePlace():
                run = self.running[command.request]
                run.places[command.place] = self._world.spawn("place", self._ask_place, command, run)
            case c.AbortPlace(request, place):
                known = self.running.get(request)
                if known is not None and place in known.places:
                    known.places.pop(place).cancel()
                    log.write("place called off", id=self._name(request))
            case c.SendRequestRelease(room, server):
                self.releases.start(room, server)
            case c.Answer(request):
                known = self.running.get(request)
                if known is not None:
                    known.answer = command
                    known.done.set()
            case c.CloseIdle(server):
                self._hosts.http.close_idle(server.host, server.port)
            case c.Warn(request, rule):
                log.write("interlock", rule=rule, id=self._name(request))
            case c.ReportViolation(rule, request, text):
                log.write("rule broken", rule=rule, text=text, id=self._name(request))
            case c.ReleaseState() | c.ReleasePlace() | c.ReleaseAll() | c.SendRelease() | c.TrackUnreadCall():
                raise AssertionError("a release that the core did not take in hand")

    def _name(self, request: int) -> str:
        return self.request_ids.get(request, b"?").decode()

    # --- attempts

    def _attempt(self, command: c.Read | c.Write, run: RunningRequest) -> None:
        try:
            ended = self._tried(command, run)
        finally:
            signal = run.read_written.pop(command.attempt, None)
            if signal is not None:
                signal.set()
        if ended is None:
            return
        run.attempts.pop(command.attempt, None)
        if ended.status in (i.Status.CONNECT_FAILED, i.Status.RESET) and not ended.no_descriptor:
            self._core.server_unresponsive(self._world.now_us(), command.server.number)
        elif ended.status in PROVES_ACCEPTED or ended.status is i.Status.CANCELLED:  # it streamed, and its client left
            self._core.server_answered(self._world.now_us(), command.server.number)
        if ended.status is i.Status.READ:
            run.trace.read_ended(self._world.now_us(), ended.note)
        if ended.status not in (i.Status.READ, i.Status.SERVED):
            log.write(
                "attempt failed",
                id=run.request_id.decode(),
                at=command.server.name,
                stage=_stage(command.server),
                status=ended.status.value,
                detail=ended.detail,
            )
        self.perform(
            self._core.attempt_ended(
                self._world.now_us(), command.request, command.attempt, ended.status, ended.note, stale=ended.stale
            )
        )

    def _tried(self, command: c.Read | c.Write, run: RunningRequest) -> AttemptResult | None:
        """How it ended; None when its request was over before its stream began."""
        try:
            with self._world.deadline(command.deadline_us):
                headers = [(b"req-id", run.request_id), (b"content-type", b"application/json")]
                connect_us = None if isinstance(command, c.Read) else self._core.lifecycle.held_connect_timeout_us
                said = self._hosts.send(
                    command.server,
                    run.exchange.head.target,
                    headers,
                    run.exchange.body,
                    lambda: self._written(command, run),
                    lambda: self._heard(command),
                    lambda: self._ready(command, run),
                    connect_us,
                    timeouts.REUSE_PAUSE_US,
                )
                if isinstance(said, AttemptResult):
                    return said
                try:
                    opening = self._opening(said)
                except BaseException:
                    said.abort()
                    raise
        except CallCancelled:
            return AttemptResult(i.Status.MOOT, detail="called off while connecting")
        except DeadlineExceeded:
            return AttemptResult(i.Status.TIMEOUT)
        except ExchangeBroken as error:
            return AttemptResult(i.Status.RESET, detail=str(error))
        except http1.ProtocolError as error:
            return AttemptResult(i.Status.ERROR, detail=error.reason)
        try:
            return self._relay(command, run, said, opening)
        finally:
            said.close()

    def _ready(self, command: c.Read | c.Write, run: RunningRequest) -> http1.Headers:
        """The connection is there: wait until nothing is owed for the request that would take what this leaves."""
        while True:
            if not self._core.lifecycle.remaining_ms(self._world.now_us(), command.request, command.attempt):
                raise CallCancelled
            self._look_for_close(run)
            if not self._core.release_pending(command.request) and not self.releases.in_flight(command.request):
                return [(b"req-deadline-ms", b"%d" % self._left_ms(command))]
            self._world.sleep_until(self._world.now_us() + timeouts.RELEASE_POLL_US)

    def _look_for_close(self, run: RunningRequest) -> None:
        """A client's close that has come may wait unread behind this task: let the task that watches run first."""
        for _ in range(timeouts.CLOSE_POLLS):
            if run.exchange.disconnected or run.exchange.stream.quiet():
                return
            self._world.sleep_until(self._world.now_us() + timeouts.CLOSE_POLL_US)

    def _left_ms(self, command: c.Read | c.Write) -> int:
        left_ms = self._core.start_sending(self._world.now_us(), command.request, command.attempt)
        if not left_ms:
            raise CallCancelled
        return left_ms

    def _written(self, command: c.Read | c.Write, run: RunningRequest) -> None:
        self._core.attempt_written(command.request, command.attempt)
        run.written_attempts.add(command.attempt)
        run.trace.attempt_written(self._world.now_us(), command.server, isinstance(command, c.Read))
        signal = run.read_written.get(command.attempt)
        if signal is not None:
            signal.set()

    def _heard(self, command: c.Read | c.Write) -> None:
        self._core.attempt_answered(command.request, command.attempt)

    def _opening(self, stream: ResponseStream) -> bytes:
        """A stream up to the end of its first event. Raises ExchangeBroken and ProtocolError."""
        opening, limit = b"", self._world.deadline(self._world.now_us() + timeouts.FIRST_EVENT_US)
        while not any(end in opening for end in EVENT_ENDS):
            try:
                with limit:
                    data = stream.read(timeouts.FIRST_PARTIAL_EVENT_US)
            except DeadlineExceeded:
                if not limit.passed:
                    raise
                data = stream.complete_events()
                if not data:
                    raise http1.ProtocolError("the first event does not end") from None
            if data is None:
                raise http1.ProtocolError("a stream without an event")
            opening += data
            if not opening.startswith(EVENT_PREFIX[: len(opening)]) or len(opening) > MAX_FIRST_EVENT_BYTES:
                raise http1.ProtocolError("a stream that does not open with an event")
        return opening

    def _relay(
        self, command: c.Read | c.Write, run: RunningRequest, stream: ResponseStream, opening: bytes
    ) -> AttemptResult | None:
        begun, commands = self._core.first_token(self._world.now_us(), command.request, command.attempt)
        self.perform(commands)
        if not begun:
            return None
        exchange, run.stream = run.exchange, stream
        run.trace.first_event_us = self._world.now_us()
        stop_guard = self._guard_silence(run, stream)
        try:
            head = exchange.start(200, [(b"content-type", b"text/event-stream")])
            exchange.body = b""
            exchange.send(opening, head)
            run.awaiting_host_since_us, tail = self._world.now_us(), opening
            while (data := stream.read(timeouts.PARTIAL_EVENT_US)) is not None:
                run.awaiting_host_since_us = 0
                exchange.send(data)
                run.awaiting_host_since_us, tail = self._world.now_us(), tail[-512:] + data
            return AttemptResult(i.Status.SERVED, cached_tokens(tail))
        except ExchangeBroken as error:
            return AttemptResult(i.Status.RESET, detail=f"stream broken: {error}")
        except http1.ProtocolError as error:  # spoilt: its host is as good as any other
            return AttemptResult(i.Status.ERROR, detail=f"stream spoilt: {error}")
        except StreamError:  # the client left or takes nothing; the core is told by the exchange
            exchange.client_disconnected()
            return AttemptResult(i.Status.CANCELLED)
        finally:
            stop_guard()

    def _guard_silence(self, run: RunningRequest, stream: ResponseStream) -> Callable[[], None]:
        """Break a stream off that brings nothing for too long, without a timer for each event."""
        cancel: list[Callable[[], None]] = [_nothing]

        def check() -> None:
            now = self._world.now_us()
            due = (run.awaiting_host_since_us or now) + timeouts.STREAM_IDLE_US
            if now >= due and stream.quiet():
                stream.abort()
            else:  # what lies there unread is read in this turn
                cancel[0] = self._world.call_at(max(due, now + timeouts.FINAL_POLL_US), check)

        check()
        return lambda: cancel[0]()

    def _last_words(self, request: int, run: RunningRequest) -> None:
        """The stream's own task passes on what has come by now: give it the turns for that."""
        for _ in range(timeouts.FINAL_POLLS):
            if run.stream is None or run.stream.quiet():
                break
            self._world.sleep_until(self._world.now_us() + timeouts.FINAL_POLL_US)
        self.perform(self._core.stream_flushed(self._world.now_us(), request))

    # --- places and releases

    def _ask_place(self, command: c.ReservePlace, run: RunningRequest) -> None:
        signal = run.read_written.get(command.read_attempt)
        held: bool | None = False  # never asked
        asked, began = False, self._world.now_us()

        def ready() -> http1.Headers:
            nonlocal asked
            self._look_for_close(run)
            if not self._core.may_reserve_place(command.request, command.place, command.read_attempt):
                raise CallCancelled
            if not self._core.place_requested(self._world.now_us(), command.request, command.place, command.server):
                raise CallCancelled
            run.trace.places_asked += not asked
            asked = True
            return []

        try:
            with self._world.deadline(self._world.now_us() + timeouts.RESERVE_PLACE_US):
                if signal is not None:
                    signal.wait()
                if self._core.may_reserve_place(command.request, command.place, command.read_attempt):
                    self.places_in_flight += 1
                    try:
                        held = self._hosts.ask_place(command.server, run.request_id, ready)
                    finally:
                        self.places_in_flight -= 1
                    run.trace.places_refused += held is False
        except CallCancelled:
            pass
        except DeadlineExceeded:
            held = None if asked else False
        if asked and held is None:
            log.write(
                "place unknown",
                id=run.request_id.decode(),
                at=command.server.name,
                ms=(self._world.now_us() - began) // 1_000,
            )
        run.places.pop(command.place, None)
        self.request_ids.setdefault(command.request, run.request_id)  # its release may be all that is left of it
        self.perform(
            self._core.place_answered(self._world.now_us(), command.request, command.place, command.server, held)
        )
        self.forget(command.request)

    def forget(self, request: int) -> None:
        """Drop the id of a request that neither runs nor is being let go of."""
        if request not in self.running and not self._core.tracks_release(request):
            self.request_ids.pop(request, None)


def _nothing() -> None:
    pass


def _stage(server: Server) -> str:
    return "prefill" if server.role is i.Role.READ else "decode"
