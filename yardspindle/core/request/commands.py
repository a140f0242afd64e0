"""What the edge's core tells its I/O to do. Plain data; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.engine_releases import PendingRelease
from yardspindle.core.request.request_releases import RequestRelease


class Final(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Read:
    """Start an attempt at a reader, given up at `until_us`."""

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
    """Ask a writer to hold a place; `place` numbers the asking within the request."""

    request: int
    place: int
    server: Server
    tokens: float
    reader: Server
    read_attempt: int


@dataclass(frozen=True, slots=True)
class AbortPlace:
    """Stop waiting for the answer to a place that was asked: close its connection; nothing more is heard of it."""

    request: int
    place: int


@dataclass(frozen=True, slots=True)
class TrackUnreadCall:
    """A call that was written to a server may lie unread there, and be acted on later.

    `silent`: its connection brought nothing for longer than a server that reads it takes, whatever others bring.
    """

    request: int
    server: Server
    silent: bool


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Let go of the state that an attempt's read left at a reader, or may yet leave."""

    request: int
    attempt: int
    server: Server


@dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Let go of a place at a writer."""

    request: int
    place: int
    server: Server


@dataclass(frozen=True, slots=True)
class ReleaseAll:
    """Let go of every state and place that any engine holds for a request; `again`: more may come to be held."""

    request: int
    repeat: bool


class AbortReason(Enum):
    """Why an attempt is called off before its end."""

    REQUEST_OVER = "its request is over"
    POLICY = "the policy called it off"
    PLANNER_LOST = "no planner decides"
    SHUTDOWN = "this program ends"
    NOT_CONNECTED = "not connected in time while something is held"
    UNANSWERED = "no word of it in time while something is held"


@dataclass(frozen=True, slots=True)
class Abort:
    """Stop an attempt: close its connection; nothing more is heard of it."""

    request: int
    attempt: int
    server: Server
    reason: AbortReason


@dataclass(frozen=True, slots=True)
class FlushStream:
    """Pass on what has already come of a stream, then say that nothing more lies there (`last_said`)."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer. A served one has been streamed; this ends it."""

    request: int
    final: Final
    code: str
    retry_after_us: int = 0
    streamed: bool = False  # tokens have gone to the client


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Shut the idle connections to a server."""

    server: Server


@dataclass(frozen=True, slots=True)
class NotifyPlanner:
    """An event for the policy."""

    event: i.Event


@dataclass(frozen=True, slots=True)
class Warn:
    """A rule would have been broken; the thing asked for was not done."""

    request: int
    rule: str


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Tell an engine to let go of something, and report whether it heard."""

    release: PendingRelease


@dataclass(frozen=True, slots=True)
class SendRequestRelease:
    """Ask an engine to let go of all that is held for a request anywhere, and report whether it heard."""

    release: RequestRelease
    server: Server


@dataclass(frozen=True, slots=True)
class ReportViolation:
    """The watch found a rule broken: for the log and the metrics."""

    rule: str
    request: int
    text: str


Command = (
    Read
    | Write
    | ReservePlace
    | AbortPlace
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
    | ReportViolation
)
