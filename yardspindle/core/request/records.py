"""What the edge knows of each request that was taken, and the figures that its interlocks go by."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request.evidence import Evidence


@dataclass(frozen=True, slots=True)
class EdgeRules:
    """What the edge's interlocks need of the settings; times in microseconds."""

    effects: dict[str, i.Effect]
    release_us: int
    drain_grace_us: int
    answer_slack_us: int
    retry_after_us: int  # advice with a refusal that the edge makes by itself
    max_attempts: int
    max_open_requests: int
    writers_read: bool = False
    resume: bool = False  # clients ask for the rest of a stream that was broken off
    release_by_request: bool = False  # engines let go of all that is held for a request together, and of nothing less


@dataclass(slots=True)
class Attempt:
    """An attempt that is out."""

    number: int
    server: Server
    sent_us: int
    deadline_us: int  # when it is given up
    evidence: Evidence
    place: int | None = None  # that a write is to take

    @property
    def written(self) -> bool:
        """Whether its last byte was: until then nothing of it can have run."""
        return self.evidence >= Evidence.WRITTEN

    @property
    def accepted(self) -> bool:
        """Whether a running server is known to have it: until then the time of what is held runs on."""
        return self.evidence >= Evidence.ACCEPTED


@dataclass(slots=True)
class Place:
    """A place asked at a writer, and whether the writer has said yes."""

    number: int
    server: Server
    held: bool = False


@dataclass(frozen=True, slots=True)
class UnansweredPlace:
    """A call for a place that was written, and is not answered."""

    server: Server
    sent_us: int


@dataclass(slots=True)
class RequestRecord:
    """A request that was taken and is not done with."""

    request: i.Request
    effect: i.Effect
    epoch: int  # of the planner that knows it; 0 when none does any more
    buffered: bool = False  # the client sees nothing before the last token: its time runs on after the first
    attempt_count: int = 0
    attempt: Attempt | None = None
    streaming: bool = False
    may_have_run: bool = False
    final: c.Final | None = None  # also set (to FAILED) when the client left: nothing may follow
    state: Any = None
    state_attempt: int = 0
    state_server: Server | None = None
    place: Place | None = None
    place_count: int = 0
    unanswered_places: dict[int, UnansweredPlace] = field(
        default_factory=dict
    )  # places asked for, whose answers are awaited
    held: bool = False  # `release_whole`: a state or place may be held for it somewhere
    may_hold_later: bool = (
        False  # and a read's connection was closed without its word: its state may come after a release
    )
    held_since_us: int = 0  # since when what is held waits for an attempt that a running server is known to have


def phase(r: RequestRecord) -> str:
    """Where a request stands, in a few words: for pages, traces and the count of transitions."""
    if r.final is not None:
        return "settling" if r.attempt is not None else "over"
    if r.streaming:
        at = "streaming"
    elif r.attempt is None:
        at = "read" if r.state_server is not None else "waiting"
    elif r.attempt.server.role is i.Role.READ:
        at = "reading"
    else:
        at = "writing"
    if r.place is not None:
        at += ", place held" if r.place.held else ", place asked"
    return at if r.epoch else f"{at}, no planner"


@dataclass(slots=True)
class RequestCounts:
    """Counts for the metrics."""

    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    interlocks: dict[str, int] = field(default_factory=dict)

    def as_dict(self) -> dict[str, int]:
        """The counts by name, for a line of a log."""
        finals = {name: getattr(self, name) for name in ("taken", "served", "refused", "failed", "left")}
        return finals | {rule.replace(" ", "_"): count for rule, count in sorted(self.interlocks.items())}
