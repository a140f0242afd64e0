"""Records of the edge's open requests, and the settings of its interlocks.

The edge is the process that holds the client connections. Its interlocks are rules that override an action of the
policy in the planner, the process that decides which server does what. A reader runs the prefill stage of a request, a
writer the decode stage. A state is the KV cache that a read leaves; a place is memory reserved at a writer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.evidence import Evidence


@dataclass(frozen=True, slots=True)
class EdgeRules:
    """Settings of the edge's interlocks; times in microseconds."""

    effects: dict[str, i.Effect]  # by class of requests
    release_us: int  # within which unused states and places must be released
    drain_grace_us: int  # in which a draining server may still be sent work
    answer_slack_us: int  # after a request's deadline: its final answer is still on time
    retry_after_us: int  # sent with refusals that the edge makes without a planner
    max_attempts: int
    max_open_requests: int
    writers_read: bool = False  # writers may read prompts themselves
    idle_connection_us: int = 0  # a server has closed a connection that nothing passed on for so long
    resume: bool = False  # clients resume a stream that was cut
    release_by_request: bool = False  # a release frees all that engines hold for a request, never only a part of it


@dataclass(slots=True)
class Attempt:
    """An attempt in flight: one send of a request's stage, read (prefill) or write (decode), to one server."""

    number: int
    server: Server
    sent_us: int
    deadline_us: int  # then it times out
    evidence: Evidence
    place: int | None = None  # number of the place that a write uses

    @property
    def written(self) -> bool:
        """Whether its last byte is written; until then it cannot have run."""
        return self.evidence >= Evidence.WRITTEN

    @property
    def accepted(self) -> bool:
        """Whether a running server is known to have it; until then the time limit on what is held runs."""
        return self.evidence >= Evidence.ACCEPTED


@dataclass(slots=True)
class Place:
    """A place (memory for a write) requested at a writer, and whether the writer has granted it."""

    number: int
    server: Server
    held: bool = False


@dataclass(frozen=True, slots=True)
class UnansweredPlace:
    """A call for a place that was written and is not answered yet."""

    server: Server
    sent_us: int


@dataclass(slots=True)
class RequestRecord:
    """An accepted request that is not finished."""

    request: i.Request
    effect: i.Effect
    epoch: int  # number of the run of the planner that knows it; 0 if none does any more
    buffered: bool = False  # answered in one piece: the deadline is for the last token
    attempt_count: int = 0
    attempt: Attempt | None = None
    streaming: bool = False
    may_have_run: bool = False  # an attempt of it may have had an effect
    final: c.Final | None = None  # also set (to FAILED) when the client disconnects: no answer may follow
    state: Any = None  # what the read returned, with which the writer fetches the KV cache
    state_attempt: int = 0
    state_server: Server | None = None
    place: Place | None = None
    place_count: int = 0
    unanswered_places: dict[int, UnansweredPlace] = field(default_factory=dict)  # by place number
    held: bool = False  # with `release_by_request`: an engine may hold a state or place for it
    may_hold_later: bool = False  # a call was aborted unanswered: it may leave a state or place after a release
    held_since_us: int = 0  # start of the time limit on what is held; reset when an accepted attempt ends


def phase(record: RequestRecord) -> str:
    """A short description of a request's progress, for status pages, traces and counts of transitions.

    "read" means that the read has ended and left its state; "place asked", that the writer has not granted it yet.
    """
    if record.final is not None:
        return "settling" if record.attempt is not None else "over"
    if record.streaming:
        at = "streaming"
    elif record.attempt is None:
        at = "read" if record.state_server is not None else "waiting"
    elif record.attempt.server.role is i.Role.READ:
        at = "reading"
    else:
        at = "writing"
    if record.place is not None:
        at += ", place held" if record.place.held else ", place asked"
    return at if record.epoch else f"{at}, no planner"


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests, their ends and triggered interlocks, for the metrics."""

    taken: int = 0  # all that arrived, also those refused at once for lack of room or of a planner
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # their clients disconnected before the final answer
    interlocks: dict[str, int] = field(default_factory=dict)

    def as_dict(self) -> dict[str, int]:
        """The counts by name, for a log line."""
        totals = {name: getattr(self, name) for name in ("taken", "served", "refused", "failed", "left")}
        return totals | {rule.replace(" ", "_"): count for rule, count in sorted(self.interlocks.items())}
