"""Commands from the edge's core to its I/O. Plain data without logic.

The edge is the process that holds the client connections; its core decides, without I/O, what is sent and answered. A
reader is a server that runs the prefill stage, a writer one that runs the decode stage. A state is the KV cache that a
read leaves at its reader until the writer has fetched it; a place is memory reserved at a writer ahead of a write.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.engine_releases import PendingRelease
from yardspindle.core.request.request_releases import RequestRelease
from yardspindle.core.request.unread_calls import Probe


class Final(Enum):
    """The kinds of final answer (the one answer that ends a request); a refusal promises that a retry is harmless."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Read:
    """Start an attempt (one send of a request's stage to one server) at a reader; it times out at `deadline_us`."""

    request: int
    attempt: int
    server: Server
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Write:
    """Start an attempt at a writer (or, without a state, at a server that does both)."""

    request: int
    attempt: int
    server: Server
    deadline_us: int
    state: Any
    place: int | None


@dataclass(frozen=True, slots=True)
class ReservePlace:
    """Ask a writer to hold a place; `place` is the number of this call within the request."""

    request: int
    place: int
    server: Server
    tokens: float
    reader: Server
    read_attempt: int


@dataclass(frozen=True, slots=True)
class AbortPlace:
    """Abort an unanswered call for a place: reset its connection and report nothing more of it."""

    request: int
    place: int


@dataclass(frozen=True, slots=True)
class AwaitLateAnswer:
    """Give up an unanswered call for a place, but keep its connection open for receiving.

    The writer reads the call whenever it reads that connection, and may hold the place from then on. What it does last
    on the connection, an answer or its close, is reported with `late_answer_ended`; nothing else releases such a place
    in time, as other connections prove nothing about this one.
    """

    request: int
    place: int
    server: Server


@dataclass(frozen=True, slots=True)
class TrackUnreadCall:
    """Track a call whose connection was closed here or broke, and which a server may read and act on later.

    `silent`: its connection was unresponsive for longer than a running server takes to read a call, so the connection
    itself may be dead, and the server's answers on other connections do not prove that it has read this call.
    """

    request: int
    server: Server
    silent: bool


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Release the state that an attempt left at a reader, or may still leave."""

    request: int
    attempt: int
    server: Server


@dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Release a place at a writer."""

    request: int
    place: int
    server: Server


@dataclass(frozen=True, slots=True)
class ReleaseAll:
    """Release all states and places held for a request; `repeat`: again later, as engines may come to hold more."""

    request: int
    repeat: bool


class AbortReason(Enum):
    """Why an attempt is aborted.

    The last two apply while engines hold, or may hold, a state or place for the request ("something" in their texts):
    these must be used or released within a time limit (`held_resources.py`), so the attempt gets less time to connect
    and be answered than otherwise. The texts are logged as `why`. Operators search logs for that of UNANSWERED
    (docs/operate/node.md), as it means that the server may be unresponsive.
    """

    REQUEST_OVER = "its request is over"
    POLICY = "the policy called it off"
    PLANNER_LOST = "no planner is connected"
    SHUTDOWN = "the process is shutting down"
    NOT_CONNECTED = "not connected in time while something is held"  # the call was not written
    UNANSWERED = "no word of it in time while something is held"  # written, but no sign that a running server has it


@dataclass(frozen=True, slots=True)
class Abort:
    """Abort an attempt: close its connection and report nothing more of it."""

    request: int
    attempt: int
    server: Server
    reason: AbortReason


@dataclass(frozen=True, slots=True)
class FlushStream:
    """Pass on what has already arrived of a stream, then report that with `stream_flushed`."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of a request. If it was served, only the end of the answer remains to be sent."""

    request: int
    final: Final
    code: str
    retry_after_us: int = 0
    streamed: bool = False  # tokens were sent to the client


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: Server


@dataclass(frozen=True, slots=True)
class NotifyPlanner:
    """Send an event to the policy in the planner (the process that decides which server does what)."""

    event: i.Event


@dataclass(frozen=True, slots=True)
class Warn:
    """An interlock (a check at the edge) stopped an action of the policy that would break a rule: log and count it."""

    request: int
    rule: str


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Send a release of one state or place to an engine, and report whether it confirmed."""

    release: PendingRelease


@dataclass(frozen=True, slots=True)
class SendRequestRelease:
    """Ask one engine to release the states and places of a request at all engines; report whether it confirmed.

    The engine forwards the release to the others, so any live engine can be asked.
    """

    release: RequestRelease
    server: Server


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Send a release to a silent engine, whose answer shows that it reads what lies in its connections."""

    probe: Probe
    server: Server


@dataclass(frozen=True, slots=True)
class ReportViolation:
    """The rule checker found a violation: log and count it."""

    rule: str
    request: int
    text: str


Command = (
    Read
    | Write
    | ReservePlace
    | AbortPlace
    | AwaitLateAnswer
    | TrackUnreadCall
    | ReleaseState
    | ReleasePlace
    | ReleaseAll
    | Abort
    | FlushStream
    | Answer
    | CloseIdle
    | NotifyPlanner
    | Warn
    | SendRelease
    | SendRequestRelease
    | SendProbe
    | ReportViolation
)
