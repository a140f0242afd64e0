"""The interface of the decision module: settings, events and actions. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What a server does."""

    READ = "read"
    WRITE = "write"
    BOTH = "both"


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class State(Enum):
    """What the server list says of a server."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the server list holds."""

    CHANGES = "changes"
    COMPLETE = "complete"
    STALE = "stale"
    FAILED = "failed"


class Status(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    READ = "read"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what it asks for."""

    name: str
    aim_us: float
    give_up_us: float
    effect: Effect = Effect.SAFE
    group: str = "all"
    window_us: float = 0
    worth: float = 1.0
    late_worth: float = 0.0
    aim_us_per_1000_prompt_tokens: float = 0.0
    token_aim_us: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its part of the service and its quota over all instances."""

    name: str
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A machine kind."""

    name: str
    role: Role
    memory_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start."""

    me: int
    instances: int
    zone: str
    classes: tuple[RequestClass, ...]
    kinds: tuple[Kind, ...]
    tenants: tuple[Tenant, ...] = ()
    ahead: bool = True
    writers_read: bool = False
    resume: bool = False
    release_us: int = 500_000
    drain_grace_us: int = 1_000_000
    cold_us: int = 0
    start_capacity: float = 1.0
    fall_multiple: float = 1.0
    fall_us: int = 0
    answer_slack_us: int = 0
    ask_within_us: int = 0
    max_attempts: int = 5
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    list_pushed: bool = True
    over_share_worth: float = 1.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0
    far_price: float = 0.0
    tick_us: int = 1_000

    def __post_init__(self) -> None:
        """Refuse settings that cannot hold, naming the field."""
        least = {
            "me": 0,
            "instances": 1,
            "max_attempts": 1,
            "release_us": 1,
            "drain_grace_us": 0,
            "cold_us": 0,
            "fall_us": 0,
            "fall_multiple": 0,
            "max_retry_after_us": 0,
            "tick_us": 1,
        }
        for field, low in least.items():
            if getattr(self, field) < low:
                raise ValueError(f"{field}: {getattr(self, field)} is under {low}")
        if self.me >= self.instances:
            raise ValueError(f"me: {self.me} is not under instances ({self.instances})")
        if not 0 < self.start_capacity <= 1:
            raise ValueError(f"start_capacity: {self.start_capacity} is not above 0 and at most 1")
        for field, rows in (("classes", self.classes), ("kinds", self.kinds)):
            names = [row.name for row in rows]
            if not names or len(set(names)) < len(names):
                raise ValueError(f"{field}: empty, or a name comes twice")
        for row in self.classes:
            if not 0 < row.aim_us <= row.give_up_us:
                raise ValueError(f"classes: aim_us of {row.name} is not above 0 and at most give_up_us")


@dataclass(frozen=True, slots=True)
class Entry:
    """A line of the server list."""

    server: int
    zone: str
    kind: str
    cell: int
    state: State
    units: float
    up_since_us: int = 0


@dataclass(frozen=True, slots=True)
class Members:
    """News of the server list."""

    list_kind: ListKind
    version: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has come."""

    request: int
    cls: str
    expires_us: int
    prompt_tokens: float
    prefix_tokens: float = 0.0
    max_out: float = 0.0
    tenant: str | None = None
    prefix: str | None = None
    session: str | None = None
    hint_us: float | None = None
    repeat: bool = False
    resumed: bool = False
    kept: Mapping[int, float] | None = None  # by reader: prompt tokens known to be kept there


@dataclass(frozen=True, slots=True)
class First:
    """The answer of an attempt has begun."""

    request: int
    attempt: int
    server: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class Note:
    """Whether the place asked for is held."""

    request: int
    attempt: int
    server: int
    held: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended."""

    request: int
    attempt: int
    server: int
    status: Status
    latency_us: int
    closed: bool
    note: int = 0
    load: Mapping[str, float] | None = None
    stale: bool = False  # a kept connection, or one being made, was reset: that says little of the server


@dataclass(frozen=True, slots=True)
class Hangup:
    """The client has left."""

    request: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe found."""

    server: int
    status: Status
    latency_us: int
    load: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another instance."""

    sender: int
    data: bytes


Event = Members | Request | First | Note | Outcome | Hangup | Timer | Probed | PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server; timeout 0 means until the client leaves."""

    request: int
    server: int
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Ahead:
    """Ask a place for the request at a writer."""

    request: int
    server: int


@dataclass(frozen=True, slots=True)
class Discard:
    """Let go of every state and place that is held for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: trying again is harmless, best after this wait."""

    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a running stream in good order; its client comes again."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a timer."""

    due_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check on a server."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Shut the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to a peer, or to all (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for changes of the server list, or stop asking."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the complete server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the staff."""

    text: str


Action = (
    Send
    | Ahead
    | Discard
    | Refuse
    | Fail
    | Cancel
    | Move
    | SetTimer
    | Probe
    | CloseIdle
    | Tell
    | Watch
    | FetchList
    | Log
)
