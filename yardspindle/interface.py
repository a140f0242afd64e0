"""Types exchanged with the routing policy: its settings, the events it receives, the actions it returns.

A reader runs the prefill stage of a request (a read), a writer the decode stage (a write). A state is the KV cache that
a read leaves at its reader until the writer has fetched it; a place is memory reserved at a writer ahead of the write.
An attempt is one send of a request's stage to one server; a cell is a group of servers within which states move fast.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The stages that a server runs: read (prefill), write (decode) or both."""

    READ = "read"
    WRITE = "write"
    BOTH = "both"


class Effect(Enum):
    """Whether a request may be repeated after it may have run: always, only under an idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class State(Enum):
    """Phase of a server in the server list; no KV state is meant."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a server list message: changes, a complete or stale list, or the report that fetching it failed."""

    CHANGES = "changes"
    COMPLETE = "complete"
    STALE = "stale"
    FAILED = "failed"


class Status(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"  # the server declined it, so it has not run
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # not sent in full, so it has not run
    READ = "read"  # the prompt was read; its state is held


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: latency targets (aim), time limit, repeatability and value."""

    name: str
    aim_us: float  # latency target
    give_up_us: float  # time after which the client no longer waits
    effect: Effect = Effect.SAFE
    group: str = "all"  # servers that share idempotency keys: `all`; any other value: those of one cell
    window_us: float = 0  # how long an idempotency key is known
    worth: float = 1.0  # value of an answer in time, relative to other classes
    late_worth: float = 0.0  # value of a late answer
    aim_us_per_1000_prompt_tokens: float = 0.0  # added to aim_us for long prompts
    token_aim_us: float = 0.0  # target time for each output token; not used by the policy


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its share of the service and its request quota over all router instances."""

    name: str
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of server machine; `memory_tokens` is 0 where unknown."""

    name: str
    role: Role
    memory_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router instance, fixed for its lifetime."""

    me: int  # index of this instance, from 0
    instances: int  # number of router instances in the fleet
    zone: str
    classes: tuple[RequestClass, ...]
    kinds: tuple[Kind, ...]
    tenants: tuple[Tenant, ...] = ()
    ahead: bool = True  # places may be requested at writers ahead of the write
    writers_read: bool = False  # writers may read prompts themselves
    resume: bool = False  # clients can continue a broken stream with a new request
    release_us: int = 500_000  # time within which unused states and places must be released
    drain_grace_us: int = 1_000_000  # time in which a draining server may still be sent requests
    cold_us: int = 0  # time until a freshly started server has its full capacity; 0: at once
    start_capacity: float = 1.0  # fraction of its capacity at the start
    fall_multiple: float = 1.0  # a cold server fails at this multiple of its capacity within fall_us
    fall_us: int = 0  # time over which the load of a cold server is counted
    answer_slack_us: int = 0  # time after a request's expiry in which its final answer is still on time
    ask_within_us: int = 0  # an allowance in the operators' rules (`ask-within-us`); not used by the policy
    max_attempts: int = 5
    second_copies: bool = False  # a request may have two attempts in flight; not used by the policy
    cancel: bool = False  # attempts may be cancelled
    probes: bool = False  # servers may be probed; not used by the policy
    peers: bool = False  # router instances may exchange messages; not used by the policy
    retry_after: bool = False  # refusals may advise a time to retry after
    max_retry_after_us: int = 0  # longest time that may be advised
    list_pushed: bool = True  # the server list is sent without a subscription
    # Five weights and costs by which the operators judge the service; the policy uses only `cross_zone_price`.
    over_share_worth: float = 1.0  # weight of answers to a tenant beyond its share
    late_fail_price: float = 0.0  # cost of a request that fails late
    waste_price: float = 0.0  # cost of work done in vain
    cross_zone_price: float = 0.0  # cost of an attempt in another zone
    far_price: float = 0.0  # cost of moving a state (`transfer-price`)
    tick_us: int = 1_000  # resolution of the clock

    def __post_init__(self) -> None:
        """Reject invalid settings with a message that names the field."""
        minimums = {
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
        for field, minimum in minimums.items():
            if getattr(self, field) < minimum:
                raise ValueError(f"{field}: must be at least {minimum}, is {getattr(self, field)}")
        if self.me >= self.instances:
            raise ValueError(f"me: must be less than instances ({self.instances}), is {self.me}")
        if not 0 < self.start_capacity <= 1:
            raise ValueError(f"start_capacity: must be greater than 0 and at most 1, is {self.start_capacity}")
        for field, rows in (("classes", self.classes), ("kinds", self.kinds)):
            names = [row.name for row in rows]
            if not names or len(set(names)) < len(names):
                raise ValueError(f"{field}: empty, or a name occurs twice")
        for row in self.classes:
            if not 0 < row.aim_us <= row.give_up_us:
                raise ValueError(f"classes: aim_us of {row.name} must be greater than 0 and at most give_up_us")


@dataclass(frozen=True, slots=True)
class Entry:
    """A server in the server list; `units` is its capacity relative to other servers."""

    server: int
    zone: str
    kind: str
    cell: int
    state: State
    units: float
    up_since_us: int = 0  # last start; 0: long ago


@dataclass(frozen=True, slots=True)
class Members:
    """Event: the server list, a change of it, or a failure to get it."""

    list_kind: ListKind
    version: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client's request has arrived."""

    request: int
    cls: str
    expires_us: int  # when the client gives up, by the router's clock
    prompt_tokens: float
    prefix_tokens: float = 0.0  # length of the prefix that it shares with other prompts
    max_out: float = 0.0  # largest number of output tokens
    tenant: str | None = None
    prefix: str | None = None
    session: str | None = None
    hint_us: float | None = None  # not used by the policy
    repeat: bool = False  # the client's retry of an earlier request
    resumed: bool = False  # the rest of a broken stream
    kept: Mapping[int, float] | None = None  # by reader: prompt tokens that are known to be cached there


@dataclass(frozen=True, slots=True)
class First:
    """Event: the first bytes of an attempt's answer have arrived."""

    request: int
    attempt: int
    server: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class Note:
    """Event: a writer answered the request for a place (`Ahead`); `held` if it is reserved.

    `attempt` and `server` are those of the request's read in progress, not the writer; the policy reads neither.
    """

    request: int
    attempt: int
    server: int
    held: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """Event: an attempt has ended; `closed` if this gave the request its final answer.

    `note` of a successful read: prompt tokens that were cached. Of any other attempt: 1 if no state is held for the
    request any more (a writer found none, or the time for holding it is up), so that the prompt must be read again.
    """

    request: int
    attempt: int
    server: int
    status: Status
    latency_us: int
    closed: bool
    note: int = 0
    load: Mapping[str, float] | None = None
    stale: bool = False  # reset of a pooled connection or during connect: says little about the server


@dataclass(frozen=True, slots=True)
class Hangup:
    """Event: the client has disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Event: a timer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """Event: the result of a probe."""

    server: int
    status: Status
    latency_us: int
    load: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message from another router instance."""

    sender: int
    data: bytes


Event = Members | Request | First | Note | Outcome | Hangup | Timer | Probed | PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server; timeout 0 means until the client disconnects."""

    request: int
    server: int
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Ahead:
    """Request a place for the request at a writer, ahead of its write."""

    request: int
    server: int


@dataclass(frozen=True, slots=True)
class Discard:
    """Release every state and place that is held for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; the client may safely retry, preferably after this time."""

    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, as the policy gave up a request that may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a running stream cleanly so that its client reconnects and resumes it; not used by the policy."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer; `token` comes back with its event."""

    due_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to a peer, or to all (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the server list, or unsubscribe."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request the complete server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

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
