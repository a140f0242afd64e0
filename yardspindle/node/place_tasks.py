"""Calls for places, each in a task of its own: a writer is asked to reserve memory for a request that is being read.

Once such a call is written, the place may be held, whatever comes back. So a call that is given up keeps its connection
until the writer has answered or closed it, unless the core aborts it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.engine.connection import PendingResponse
from yardspindle.node import log
from yardspindle.node.host_client import CallCancelled
from yardspindle.node.host_tasks import HostTasks
from yardspindle.node.running_request import RunningRequest
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Cancelled, Task


@dataclass(slots=True, eq=False)
class PlaceCall:
    """A call for a place; `running` is its request until the call is given up."""

    command: c.ReservePlace
    request_id: bytes
    running: RunningRequest | None
    began_us: int
    task: Task | None = None
    pending: PendingResponse = field(default_factory=PendingResponse)
    asking: bool = False  # its connection is being opened, or it is written
    requested: bool = False  # its first byte may have been written
    given_up: bool = False
    cancelled: bool = False


@dataclass(eq=False)
class PlaceTasks(HostTasks):
    """Makes the calls for places that the core asks for."""

    _calls: dict[tuple[int, int], PlaceCall] = field(default_factory=dict, init=False)  # by request and place

    @property
    def awaited(self) -> bool:
        """Whether a call is in flight that was not given up: its place may be held."""
        return any(call.asking and not call.given_up for call in self._calls.values())

    def start(self, command: c.ReservePlace, running: RunningRequest) -> None:
        """Ask a writer for a place."""
        call = PlaceCall(command, running.request_id, running, self._world.now_us())
        self._calls[command.request, command.place] = call
        call.task = self._world.spawn("place", self._reserve, call)

    def give_up(self, request: int, place: int) -> None:
        """Give a call up, and report its late answer; one that is not written completely is cancelled."""
        call = self._calls.get((request, place))
        if call is None:
            return
        if not call.given_up:
            log.write("place called off", id=call.request_id.decode())
        call.given_up, call.running = True, None
        if call.pending.is_sent:
            call.pending.end_sending()
        else:
            self._cancel(call)

    def abort(self, request: int, place: int) -> None:
        """Close the connection of a call that was given up."""
        call = self._calls.get((request, place))
        if call is not None:
            call.cancelled = True
            call.pending.abort()

    def _cancel(self, call: PlaceCall) -> None:
        if call.task is not None:
            call.cancelled = True
            call.task.cancel()

    def _overdue(self, call: PlaceCall) -> None:
        """The time limit for the answer has passed."""
        if call.given_up:
            return
        if not call.pending.is_sent:
            self._cancel(call)
            return
        call.given_up = True
        self._log_unknown(call)
        command = call.command
        self._settle(
            call, self._core.place_overdue(self._world.now_us(), command.request, command.place, command.server)
        )

    def _reserve(self, call: PlaceCall) -> None:
        """The task of a call for a place: ask, and report the answer to the core."""
        cancel_timer = self._world.call_at(
            call.began_us + timeouts.RESERVE_PLACE_US, lambda: log.run_guarded(lambda: self._overdue(call))
        )
        held: bool | None = None
        try:
            held = self._ask(call)
        except CallCancelled:
            held = False
        except Cancelled:
            if not call.cancelled:
                raise  # the process ends
            held = None if call.requested else False
        finally:
            cancel_timer()
            del self._calls[call.command.request, call.command.place]
        if call.given_up:
            self._report_late(call, held)
        elif call.requested:
            self._report(call, held)
        else:
            self._report_not_sent(call, held)
        self._forget(call.command.request)

    def _ask(self, call: PlaceCall) -> bool | None:
        """Make the call once its read attempt is written; returns whether the place is held, None if unknown.

        If nothing was sent, False means that the writer may be reachable all the same.
        """
        command, running = call.command, call.running
        read_written = running.read_written.get(command.read_attempt) if running is not None else None
        running = None  # a late answer is awaited without keeping the request's body
        if read_written is not None:
            read_written.wait()
        if not self._core.may_reserve_place(command.request, command.place, command.read_attempt):
            return False
        call.asking = True
        held = self._hosts.reserve_place(
            command.server, call.request_id, lambda: self._late_headers(call), call.pending
        )
        if call.running is not None:
            call.running.trace.places_refused += held is False
        return held

    def _late_headers(self, call: PlaceCall) -> http1.Headers:
        """Called before the first byte is written, perhaps on a second connection. Raises CallCancelled."""
        command, running = call.command, call.running
        if running is None:
            raise CallCancelled
        running.exchange.await_unread_input()
        if not self._core.may_reserve_place(command.request, command.place, command.read_attempt):
            raise CallCancelled
        if not self._core.place_requested(self._world.now_us(), command.request, command.place, command.server):
            raise CallCancelled
        running.trace.places_requested += not call.requested
        call.requested = True
        return []

    def _report(self, call: PlaceCall, held: bool | None) -> None:
        command = call.command
        if held is None:
            self._log_unknown(call)
        self._settle(
            call, self._core.place_answered(self._world.now_us(), command.request, command.place, command.server, held)
        )

    def _report_not_sent(self, call: PlaceCall, held: bool | None) -> None:
        """Report that nothing was sent; `held` is None if no connection could be made."""
        command = call.command
        self._perform(
            self._core.place_not_sent(
                self._world.now_us(), command.request, command.place, command.server, ask_elsewhere=held is not None
            )
        )

    def _report_late(self, call: PlaceCall, held: bool | None) -> None:
        """Report the end of a call that was given up: the writer has read it, or closed its connection."""
        command, now_us = call.command, self._world.now_us()
        if not call.cancelled:
            log.write(
                "place answered late",
                id=call.request_id.decode(),
                at=command.server.name,
                held=held,
                ms=(now_us - call.began_us) // 1_000,
            )
        self._settle(call, self._core.late_answer_ended(now_us, command.request, command.place, held))

    def _settle(self, call: PlaceCall, commands: list[c.Command]) -> None:
        """Carry out what follows from the end of a call; a release among it needs the id, also after the request."""
        self._ids.setdefault(call.command.request, call.request_id)
        self._perform(commands)

    def _log_unknown(self, call: PlaceCall) -> None:
        log.write(
            "place unknown",  # that is, whether the writer holds it
            id=call.request_id.decode(),
            at=call.command.server.name,
            ms=(self._world.now_us() - call.began_us) // 1_000,
        )
