"""Executes the core's commands: runs attempts, place reservations and releases, and hands answers to the handlers.

The core (`EdgeCore`) is the edge's state machine, without I/O. An attempt is one call for a request's read (prefill at
a reader) or write (decode at a writer). A place is memory reserved at a writer ahead of the write; a state is the KV
cache that a read leaves at its reader. A release frees one of them.

`perform` runs in the task that received the commands and never blocks. Whatever waits for a peer runs in a task of
its own, so a slow engine or client delays only its own request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from yardspindle import interface as i
from yardspindle.api.exchange import Exchange
from yardspindle.core.prefix.prefix_tracker import PrefixTracker, PromptBlocks
from yardspindle.core.request import commands as c
from yardspindle.core.request.answer import AnswerTracker, CollectedAnswer
from yardspindle.core.request.commands import Final
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.engine_releases import PendingRelease, ResourceKind
from yardspindle.core.request.intake import AcceptedRequest, Intake
from yardspindle.edge.metrics import EdgeMetrics
from yardspindle.engine import vllm
from yardspindle.engine.http_client import ExchangeBroken
from yardspindle.protocol.sse import write_event
from yardspindle.runtime.scheduler import Cancelled, DeadlineExceeded, Signal, Task
from yardspindle.runtime.world import StreamError, World

RELEASE_TIMEOUT_US = 1_000_000  # for one call to release a state or place; the core retries
PLACE_TIMEOUT_US = 1_000_000  # for one call that reserves a place
READ_TO_END_TIMEOUT_US = 1_000_000  # for the rest of the response after an answer's last event

log = structlog.get_logger("yardspindle.edge")


@dataclass(slots=True)
class RunningRequest:
    """The I/O state of one client request, from its arrival to its final answer (served, refused or failed)."""

    accepted: AcceptedRequest
    request_id: str
    fields: vllm.Fields
    exchange: Exchange
    response_head: bytes  # of a streamed answer; sent together with its first event
    stream: bool
    answer_tracker: AnswerTracker
    collected: CollectedAnswer | None
    received_us: int
    done: Signal
    answer: c.Answer | None = None
    client_error: tuple[int, bytes] | None = None  # status and body with which an engine rejected the request itself
    attempts: dict[int, Task] = field(default_factory=dict)  # by number; at most one runs, aborted ones are removed
    prompt_blocks: PromptBlocks = PromptBlocks()
    claimed_tokens: dict[str, float] = field(default_factory=dict)  # by reader: prompt tokens its events say it caches
    first_event_us: int = 0
    awaiting_event_since_us: int = 0  # when the wait for the writer's next event began; 0: not waiting
    attempt_written: bool = False  # whether the HTTP request of the running attempt is written to its last byte

    def mark_written(self) -> None:
        """Record that the last byte of the running attempt's HTTP request is written."""
        self.attempt_written = True

    def timeout_result(self) -> vllm.AttemptResult:
        """The result of an attempt that timed out: MOOT (certainly not run) if its request was not written in full."""
        return vllm.AttemptResult(i.Status.TIMEOUT if self.attempt_written else i.Status.MOOT)


class Executor:
    """Executes the commands of `EdgeCore` and reports back how attempts, places and releases ended."""

    def __init__(
        self,
        world: World,
        core: EdgeCore,
        engines: vllm.EngineClient,
        metrics: EdgeMetrics,
        intake: Intake,
        stream_idle_us: int,
        notify_planner: Callable[[i.Event], None],
        prefix_tracker: PrefixTracker | None,
    ) -> None:
        """`stream_idle_us`: how long a running answer stream may stay without data.

        `world`: the interface to clock, sockets, files and randomness.
        """
        self._world = world
        self._core = core
        self._engines = engines
        self._metrics = metrics
        self._intake = intake
        self._stream_idle_us = stream_idle_us
        self._notify_planner = notify_planner
        self._prefix_tracker = prefix_tracker
        self.running: dict[int, RunningRequest] = {}

    def perform(self, commands: list[c.Command]) -> None:
        """Execute commands in order, without blocking."""
        for command in commands:
            match command:
                case c.NotifyPlanner(event):
                    self._notify_planner(event)
                case c.Read():
                    self._start_attempt(command.request, command.attempt, self._run_read, command)
                case c.Write():
                    self._start_attempt(command.request, command.attempt, self._run_write, command)
                case c.Abort():
                    run = self.running.get(command.request)
                    if run is not None and command.attempt in run.attempts:
                        run.attempts.pop(command.attempt).cancel()
                case c.ReservePlace():
                    self._world.spawn("place", self._reserve_place, command)
                case c.SendRelease(pending):
                    self._world.spawn("release", self._release, pending)
                case c.Answer():
                    run = self.running.get(command.request)
                    if run is not None:
                        run.answer = command
                        run.done.set()
                case c.CloseIdle(server):
                    self._engines.http.close_idle(server.host, server.port)
                case c.Warn(request, rule):
                    # A rule of the edge, an interlock, stopped an action of the planner or made up for a missing one.
                    self._metrics.interlocks.labels(rule).inc()
                    run = self.running.get(request)
                    log.warning("interlock", rule=rule, request_id=run.request_id if run else str(request))
                case c.ReportViolation(rule, request, text):  # found by the core's rule checker
                    self._metrics.broken_rules.labels(rule).inc()
                    run = self.running.get(request)
                    log.error("rule broken", rule=rule, text=text, request_id=run.request_id if run else str(request))
                case c.ReleaseState() | c.ReleasePlace():
                    raise AssertionError("EdgeCore must queue releases itself and return them as SendRelease")

    def _start_attempt(
        self, request: int, attempt: int, attempt_task: Callable[[Any, RunningRequest], None], command: c.Read | c.Write
    ) -> None:
        run = self.running[request]
        run.attempts[attempt] = self._world.spawn("attempt", attempt_task, command, run)

    def _attempt_ended(self, run: RunningRequest, command: c.Read | c.Write, result: vllm.AttemptResult) -> None:
        run.attempts.pop(command.attempt, None)
        stage = "read" if isinstance(command, c.Read) else "write"
        self._metrics.attempts.labels(stage, result.status.value).inc()
        if result.status not in (i.Status.READ, i.Status.SERVED):
            log.info(
                "attempt failed",
                request_id=run.request_id,
                stage=stage,
                server=command.server.name,
                status=result.status.value,
                detail=result.detail,
            )
        if result.client_error is not None:
            run.client_error = result.client_status, result.client_error
        if result.usage is not None:
            # `learn` corrects the estimate of a prompt's tokens from the size of its text by the engine's count.
            self._intake.learn(run.accepted, result.usage.prompt_tokens)
            self._metrics.prompt_tokens.inc(result.usage.prompt_tokens)
            self._metrics.cached_tokens.inc(result.usage.cached_tokens or 0)
            if result.status is i.Status.READ and self._prefix_tracker is not None:
                predicted = (run.accepted.request.kept or {}).get(command.server.number)
                self._prefix_tracker.record_read(
                    command.server.name,
                    run.prompt_blocks,
                    result.usage.prompt_tokens,
                    result.usage.cached_tokens,
                    predicted,
                    run.claimed_tokens.get(command.server.name),
                )
        # The note is a success's cached prompt tokens, or 1 if the engine found no state to fetch.
        self.perform(
            self._core.attempt_ended(
                self._world.now_us(), command.request, command.attempt, result.status, result.note, result.state
            )
        )

    # --- attempts

    def _run_read(self, command: c.Read, run: RunningRequest) -> None:
        run.attempt_written = False
        try:
            with self._world.deadline(command.deadline_us):
                result = self._engines.read(
                    command.server, command.request, command.attempt, vllm.read_body(run.fields), run.mark_written
                )
        except DeadlineExceeded:
            result = run.timeout_result()
        self._attempt_ended(run, command, result)

    def _run_write(self, command: c.Write, run: RunningRequest) -> None:
        run.attempt_written = False
        try:
            with self._world.deadline(command.deadline_us):
                body = vllm.write_body(run.fields, command.state)
                answer = self._engines.write(
                    command.server, command.request, command.attempt, body, command.place, run.mark_written
                )
                first = None
                if isinstance(answer, vllm.AnswerStream):
                    batches = answer.event_batches()
                    try:
                        first = next(batches, None)
                    except BaseException:
                        answer.close()
                        raise
        except DeadlineExceeded:
            return self._attempt_ended(run, command, run.timeout_result())
        except ExchangeBroken as error:
            return self._attempt_ended(run, command, vllm.AttemptResult(i.Status.RESET, detail=str(error)))
        if isinstance(answer, vllm.AttemptResult):
            return self._attempt_ended(run, command, answer)
        try:
            result = self._relay(command, run, answer, first, batches)
        finally:
            answer.close()
        if result is not None:
            self._attempt_ended(run, command, result)

    def _relay(
        self, command: c.Write, run: RunningRequest, answer: vllm.AnswerStream, first: list[bytes] | None, batches: Any
    ) -> vllm.AttemptResult | None:
        """Forward an answer stream to the client; None if the request had ended before the first event."""
        if first is None:
            return vllm.AttemptResult(i.Status.RESET, detail="the answer ended before its first event")
        if vllm_error := next((data for data in first[:1] if data.startswith(b'{"error"')), None):
            return vllm.AttemptResult(i.Status.ERROR, detail=vllm_error[:200].decode(errors="replace"))
        streaming, commands = self._core.first_token(self._world.now_us(), command.request, command.attempt)
        self.perform(commands)
        if not streaming:
            return None
        run.first_event_us = self._world.now_us()
        self._metrics.first_token_seconds.labels(run.accepted.request.cls).observe(
            (run.first_event_us - run.received_us) / 1e6
        )
        cancel_guard = self._guard_idle_stream(run, answer)
        try:
            self._forward(run, first)
            while not run.answer_tracker.done and not run.answer_tracker.error:
                run.awaiting_event_since_us = self._world.now_us()
                batch = next(batches, None)
                run.awaiting_event_since_us = 0
                if batch is None:
                    break
                self._forward(run, batch)
            if run.answer_tracker.complete:
                self._read_to_end(answer)
                counts = run.answer_tracker.counts
                if counts is not None:
                    self._intake.learn(run.accepted, counts.prompt)
                return vllm.AttemptResult(i.Status.SERVED, note=counts.cached if counts else 0)  # cached tokens
            return vllm.AttemptResult(
                i.Status.ERROR if run.answer_tracker.error else i.Status.RESET, detail="stream broken"
            )
        except (ExchangeBroken, ValueError) as error:
            return vllm.AttemptResult(i.Status.RESET, detail=str(error))
        except StreamError:  # the client disconnected or does not read
            run.exchange.client_disconnected()  # notifies the core, unless that is done
            return vllm.AttemptResult(i.Status.CANCELLED)
        finally:
            cancel_guard()

    def _forward(self, run: RunningRequest, batch: list[bytes]) -> None:
        answer_tracker = run.answer_tracker
        forwarded = [data for data in batch if answer_tracker.forward(data)]
        if not forwarded:
            return
        self._metrics.streamed_events.inc(len(forwarded))
        if run.collected is not None:
            for data in forwarded:
                run.collected.add(data)
            return
        head, run.response_head = run.response_head, b""
        run.exchange.send(b"".join([write_event(data) for data in forwarded]), head)

    def _read_to_end(self, answer: vllm.AnswerStream) -> None:
        try:
            with self._world.deadline(self._world.now_us() + READ_TO_END_TIMEOUT_US):
                answer.read_to_end()
        except (ExchangeBroken, DeadlineExceeded):
            pass  # the answer is complete; only its connection cannot be reused

    def _guard_idle_stream(self, run: RunningRequest, answer: vllm.AnswerStream) -> Callable[[], None]:
        """Abort a stream that stays idle too long; checked every quarter of the limit to avoid a timer per event."""
        cancel: list[Callable[[], None]] = []

        def check() -> None:
            now = self._world.now_us()
            if run.awaiting_event_since_us and now - run.awaiting_event_since_us >= self._stream_idle_us:
                answer.abort()
                return
            cancel[0] = self._world.call_at(now + self._stream_idle_us // 4, check)

        cancel.append(self._world.call_at(self._world.now_us() + self._stream_idle_us // 4, check))
        return lambda: cancel[0]()

    # --- places and releases

    def _reserve_place(self, command: c.ReservePlace) -> None:
        held: bool | None = None  # None: unknown, the writer gave no clear answer
        try:
            with self._world.deadline(self._world.now_us() + PLACE_TIMEOUT_US):
                held = self._engines.reserve_place(
                    command.server, command.request, command.place, command.tokens, command.reader, command.read_attempt
                )
        except (DeadlineExceeded, Cancelled):  # cancelled as the program ends; the writer may hold the place
            held = None
        self.perform(
            self._core.place_answered(self._world.now_us(), command.request, command.place, command.server, held)
        )

    def _release(self, pending: PendingRelease) -> None:
        confirmed = False
        try:
            with self._world.deadline(self._world.now_us() + RELEASE_TIMEOUT_US):
                send_release = (
                    self._engines.release_state if pending.kind is ResourceKind.STATE else self._engines.release_place
                )
                confirmed = send_release(pending.server, pending.request, pending.number)
        except DeadlineExceeded:
            pass
        self.perform(self._core.release_settled(self._world.now_us(), pending, confirmed))


def served_body(run: RunningRequest) -> bytes:
    """The response body for a request that did not ask for a stream."""
    assert run.collected is not None and run.answer is not None and run.answer.final is Final.SERVED
    return run.collected.body()
