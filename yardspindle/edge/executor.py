"""Carries out the core's commands: attempts, places and releases as tasks, answers to the requests' handlers.

Commands are carried out in the task that got them and never wait there: whatever waits for a peer is a task of
its own, so that a slow engine or client holds up nothing but its own request.
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

RELEASE_TIMEOUT_US = 1_000_000  # for one try of a release
PLACE_TIMEOUT_US = 1_000_000
READ_TO_END_TIMEOUT_US = 1_000_000  # for the bytes after an answer's last event

log = structlog.get_logger("yardspindle.edge")


@dataclass(slots=True)
class RunningRequest:
    """A request's I/O."""

    accepted: AcceptedRequest
    request_id: str
    fields: vllm.Fields
    exchange: Exchange
    response_head: bytes  # of the streamed answer, sent with its first event
    stream: bool
    answer_tracker: AnswerTracker
    collected: CollectedAnswer | None
    received_us: int
    done: Signal
    answer: c.Answer | None = None
    client_error: tuple[int, bytes] | None = None
    attempts: dict[int, Task] = field(default_factory=dict)
    prompt_blocks: PromptBlocks = PromptBlocks()
    claimed_tokens: dict[str, float] = field(default_factory=dict)
    first_event_us: int = 0
    awaiting_event_since_us: int = 0  # since when the writer's next event is awaited
    attempt_written: bool = False  # the last byte of the attempt that is out

    def mark_written(self) -> None:
        """The attempt's last byte is written."""
        self.attempt_written = True

    def timeout_result(self) -> vllm.AttemptResult:
        """How the attempt ended whose time is up: before its last byte is written nothing of it has run."""
        return vllm.AttemptResult(i.Status.TIMEOUT if self.attempt_written else i.Status.MOOT)


class Executor:
    """The hands of the core."""

    def __init__(
        self,
        world: World,
        core: EdgeCore,
        engines: vllm.EngineClient,
        metrics: EdgeMetrics,
        intake: Intake,
        stalled_us: int,
        tell: Callable[[i.Event], None],
        knowledge: PrefixTracker | None,
    ) -> None:
        """`stalled_us`: how long a running stream may bring nothing."""
        self._world = world
        self._core = core
        self._engines = engines
        self._metrics = metrics
        self._intake = intake
        self._stalled_us = stalled_us
        self._tell = tell
        self._knowledge = knowledge
        self.running: dict[int, RunningRequest] = {}

    def perform(self, commands: list[c.Command]) -> None:
        """Carry out commands, in order, without waiting."""
        for command in commands:
            match command:
                case c.NotifyPlanner(event):
                    self._tell(event)
                case c.Read():
                    self._start(command.request, command.attempt, self._read, command)
                case c.Write():
                    self._start(command.request, command.attempt, self._write, command)
                case c.Abort():
                    run = self.running.get(command.request)
                    if run is not None and command.attempt in run.attempts:
                        run.attempts.pop(command.attempt).cancel()
                case c.ReservePlace():
                    self._world.spawn("place", self._ask_place, command)
                case c.SendRelease(owed):
                    self._world.spawn("release", self._release, owed)
                case c.Answer():
                    run = self.running.get(command.request)
                    if run is not None:
                        run.answer = command
                        run.done.set()
                case c.CloseIdle(server):
                    self._engines.http.close_idle(server.host, server.port)
                case c.Warn(request, rule):
                    self._metrics.interlocks.labels(rule).inc()
                    run = self.running.get(request)
                    log.warning("interlock", rule=rule, request_id=run.request_id if run else str(request))
                case c.ReportViolation(rule, request, text):
                    self._metrics.broken_rules.labels(rule).inc()
                    run = self.running.get(request)
                    log.error("rule broken", rule=rule, text=text, request_id=run.request_id if run else str(request))
                case c.ReleaseState() | c.ReleasePlace():
                    raise AssertionError("a release that the core did not take in hand")

    def _start(
        self, request: int, attempt: int, run_attempt: Callable[[Any, RunningRequest], None], command: c.Read | c.Write
    ) -> None:
        run = self.running[request]
        run.attempts[attempt] = self._world.spawn("attempt", run_attempt, command, run)

    def _attempt_ended(self, run: RunningRequest, command: c.Read | c.Write, ended: vllm.AttemptResult) -> None:
        run.attempts.pop(command.attempt, None)
        stage = "read" if isinstance(command, c.Read) else "write"
        self._metrics.attempts.labels(stage, ended.status.value).inc()
        if ended.status not in (i.Status.READ, i.Status.SERVED):
            log.info(
                "attempt failed",
                request_id=run.request_id,
                stage=stage,
                server=command.server.name,
                status=ended.status.value,
                detail=ended.detail,
            )
        if ended.client_error is not None:
            run.client_error = ended.client_status, ended.client_error
        if ended.usage is not None:
            self._intake.learn(run.accepted, ended.usage.prompt_tokens)
            self._metrics.prompt_tokens.inc(ended.usage.prompt_tokens)
            self._metrics.cached_tokens.inc(ended.usage.cached_tokens or 0)
            if ended.status is i.Status.READ and self._knowledge is not None:
                told = (run.accepted.request.kept or {}).get(command.server.number)
                self._knowledge.record_read(
                    command.server.name,
                    run.prompt_blocks,
                    ended.usage.prompt_tokens,
                    ended.usage.cached_tokens,
                    told,
                    run.claimed_tokens.get(command.server.name),
                )
        self.perform(
            self._core.attempt_ended(
                self._world.now_us(), command.request, command.attempt, ended.status, ended.note, ended.state
            )
        )

    # --- attempts

    def _read(self, command: c.Read, run: RunningRequest) -> None:
        run.attempt_written = False
        try:
            with self._world.deadline(command.deadline_us):
                ended = self._engines.read(
                    command.server, command.request, command.attempt, vllm.read_body(run.fields), run.mark_written
                )
        except DeadlineExceeded:
            ended = run.timeout_result()
        self._attempt_ended(run, command, ended)

    def _write(self, command: c.Write, run: RunningRequest) -> None:
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
            ended = self._relay(command, run, answer, first, batches)
        finally:
            answer.close()
        if ended is not None:
            self._attempt_ended(run, command, ended)

    def _relay(
        self, command: c.Write, run: RunningRequest, answer: vllm.AnswerStream, first: list[bytes] | None, batches: Any
    ) -> vllm.AttemptResult | None:
        """From the first event to the last; None when the request was over before it."""
        if first is None:
            return vllm.AttemptResult(i.Status.RESET, detail="the answer ended before it began")
        if vllm_error := next((data for data in first[:1] if data.startswith(b'{"error"')), None):
            return vllm.AttemptResult(i.Status.ERROR, detail=vllm_error[:200].decode(errors="replace"))
        begun, commands = self._core.first_token(self._world.now_us(), command.request, command.attempt)
        self.perform(commands)
        if not begun:
            return None
        run.first_event_us = self._world.now_us()
        self._metrics.first_token_seconds.labels(run.accepted.request.cls).observe(
            (run.first_event_us - run.received_us) / 1e6
        )
        stop_guard = self._guard_stall(run, answer)
        try:
            self._pass_on(run, first)
            while not run.answer_tracker.done and not run.answer_tracker.error:
                run.awaiting_event_since_us = self._world.now_us()
                batch = next(batches, None)
                run.awaiting_event_since_us = 0
                if batch is None:
                    break
                self._pass_on(run, batch)
            if run.answer_tracker.complete:
                self._finish(answer)
                counts = run.answer_tracker.counts
                if counts is not None:
                    self._intake.learn(run.accepted, counts.prompt)
                return vllm.AttemptResult(i.Status.SERVED, counts.cached if counts else 0)
            return vllm.AttemptResult(
                i.Status.ERROR if run.answer_tracker.error else i.Status.RESET, detail="stream broken"
            )
        except (ExchangeBroken, ValueError) as error:
            return vllm.AttemptResult(i.Status.RESET, detail=str(error))
        except StreamError:  # the client left or takes nothing; the exchange has told the core
            run.exchange.client_disconnected()
            return vllm.AttemptResult(i.Status.CANCELLED)
        finally:
            stop_guard()

    def _pass_on(self, run: RunningRequest, batch: list[bytes]) -> None:
        state = run.answer_tracker
        passed = [data for data in batch if state.forward(data)]
        if not passed:
            return
        self._metrics.streamed_events.inc(len(passed))
        if run.collected is not None:
            for data in passed:
                run.collected.add(data)
            return
        head, run.response_head = run.response_head, b""
        run.exchange.send(b"".join([write_event(data) for data in passed]), head)

    def _finish(self, answer: vllm.AnswerStream) -> None:
        try:
            with self._world.deadline(self._world.now_us() + READ_TO_END_TIMEOUT_US):
                answer.read_to_end()
        except (ExchangeBroken, DeadlineExceeded):
            pass  # the answer was whole; only its connection is not kept

    def _guard_stall(self, run: RunningRequest, answer: vllm.AnswerStream) -> Callable[[], None]:
        """Break a stream that brings nothing for too long, without a timer for each event."""
        cancel: list[Callable[[], None]] = []

        def check() -> None:
            now = self._world.now_us()
            if run.awaiting_event_since_us and now - run.awaiting_event_since_us >= self._stalled_us:
                answer.abort()
                return
            cancel[0] = self._world.call_at(now + self._stalled_us // 4, check)

        cancel.append(self._world.call_at(self._world.now_us() + self._stalled_us // 4, check))
        return lambda: cancel[0]()

    # --- places and releases

    def _ask_place(self, command: c.ReservePlace) -> None:
        held: bool | None = None
        try:
            with self._world.deadline(self._world.now_us() + PLACE_TIMEOUT_US):
                held = self._engines.reserve_place(
                    command.server, command.request, command.place, command.tokens, command.reader, command.read_attempt
                )
        except (DeadlineExceeded, Cancelled):
            held = None
        self.perform(
            self._core.place_answered(self._world.now_us(), command.request, command.place, command.server, held)
        )

    def _release(self, owed: PendingRelease) -> None:
        heard = False
        try:
            with self._world.deadline(self._world.now_us() + RELEASE_TIMEOUT_US):
                release = (
                    self._engines.release_state if owed.kind is ResourceKind.STATE else self._engines.release_place
                )
                heard = release(owed.server, owed.request, owed.number)
        except DeadlineExceeded:
            pass
        self.perform(self._core.release_settled(self._world.now_us(), owed, heard))


def served_body(run: RunningRequest) -> bytes:
    """The whole answer of a request that asked for no stream."""
    assert run.collected is not None and run.answer is not None and run.answer.final is Final.SERVED
    return run.collected.body()
