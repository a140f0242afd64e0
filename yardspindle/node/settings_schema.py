"""Types of the settings that the operators' platform sets, checked first so that an error names the field at fault.

Unknown keys are ignored. yardspindle.settings_map says what the values mean, and what applies where one is absent: a
default here only makes the key optional. Bounds between fields are checked by yardspindle.interface.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, convert

Time = Annotated[float, Meta(ge=0, le=1e13)]  # microseconds; more than a hundred days is not plausible
Count = Annotated[int, Meta(ge=1, le=1 << 31)]
Requests = Annotated[float, Meta(ge=0, le=1e13)]  # a number of requests
Amount = Annotated[float, Meta(ge=0, le=1e15)]
Name = Annotated[str, Meta(pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z")]  # a header value


class _Class(Struct, rename="kebab"):
    """A class of requests with its own time limits and weight (`worth`, `late-worth`)."""

    name: Name
    goal_time_us: Annotated[float, Meta(gt=0, le=1e13)]  # latency target
    give_up_us: Annotated[float, Meta(gt=0, le=1e13)]  # time after which the client no longer waits
    # Whether a request may be repeated after it may have run: always, only under an idempotency key, or never.
    idempotency: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: str = "all"  # hosts that know an idempotency key: "all"; otherwise those of one cell (a group of hosts)
    window_us: Time = 0  # how long an idempotency key is known
    worth: Amount = 1.0  # value of an answer in time, relative to other classes
    late_worth: Amount = 0.0  # value of a late answer


class _Tenant(Struct, rename="kebab"):
    """A customer."""

    name: str
    fraction: Amount = 0.0  # its share of the service
    quota_per_s: Amount = 0.0  # its requests per second over all router instances


class _Family(Struct, rename="kebab"):
    """Properties of the deployment's model hosts (`family-info`).

    Tuples have a value for each kind of host, or for each class where noted. To read is to run the prefill stage, to
    write the decode stage.
    """

    duty_by_kind: tuple[Literal["read", "write", "both"], ...] | None = None  # the stages that the kind runs
    memory_tokens: tuple[Amount, ...] | None = None  # memory for the KV cache, in tokens; 0: unknown
    aim_us_per_1000_prompt_tokens: tuple[Time, ...] | None = None  # by class: added to its latency target
    token_aim_us: tuple[Time, ...] | None = None  # by class: target time for each output token
    holds_allowed: bool = False  # memory may be reserved at a decode host ahead of the decode
    read_in_place: bool = False  # decode hosts may run the prefill, too
    resume: bool = False  # clients can continue a broken stream with a new request
    let_go_by_us: Annotated[float, Meta(ge=1, le=1e13)] = 1  # time within which unused memory must be released
    transfer_price: float = 0.0  # a cost weight of the operators; the policy does not use it


class _Rules(Struct, rename="kebab"):
    """Rules on drains, on cold starts (hosts that were just started) and on answers."""

    drain_grace_us: Time = 0  # time in which a draining host may still be sent requests
    cold_us: Time = 0  # time until a freshly started host has its full capacity
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0  # fraction of its capacity at the start
    fall_multiple: Amount = 1.0  # a cold host fails if sent more than this multiple of its capacity within fall_us
    fall_us: Time = 0  # time over which the load of a cold host is counted
    answer_slack_us: Time = 0  # time after a request's expiry in which its final answer is still on time
    ask_within_us: Time = 0  # not used by the policy


class _Allowed(Struct, rename="kebab"):
    """What the router may do, and its limits."""

    most_tries: Count = 1  # attempts for one request
    max_open: Requests | None = None  # most requests open at a time; absent or 0: no practical limit
    connect_timeout_us: Time | None = None  # limit for connecting to a host; absent or 0: derived from the classes
    conn_idle_us: Time | None = None  # time after which a host may close an idle connection; 0: at once
    max_retry_after_us: Time = 0  # longest Retry-After that a refusal may state
    second_copies: bool = False  # a request may have two attempts in flight; not used by the policy
    cancel: bool = False  # attempts may be cancelled
    probes: bool = False  # hosts may be probed; not used by the policy
    peers: bool = False  # router instances may exchange messages; not used by the policy
    retry_after: bool = False  # refusals may state a Retry-After


class _Prices(Struct, rename="kebab"):
    """Cost weights by which the operators judge the service; the policy uses only `cross_zone`."""

    late_fail: float = 0.0
    waste: float = 0.0
    cross_zone: float = 0.0  # cost of an attempt in another zone


class _Settings(Struct, rename="kebab"):
    me: Annotated[int, Meta(ge=0)]  # index of this router instance, from 0
    instances: Count  # number of router instances in the fleet
    services: Annotated[tuple[_Class, ...], Meta(min_length=1)]  # the classes of requests
    shapes: Annotated[tuple[str, ...], Meta(min_length=1)]  # names of the kinds of host machines
    zone: str = ""  # where this instance runs
    realms: tuple[_Tenant, ...] | None = None  # the tenants (customers)
    membership_mode: str = "push"  # "push": the policy gets host lists unasked; any other value: it subscribes to them
    over_share_worth: float = 1.0  # a weight by which the operators judge the service; the policy does not use it
    tick_us: Annotated[float, Meta(ge=1, le=1e13)] = 1  # resolution of the clock
    family_info: _Family | None = None
    allowed: _Allowed | None = None
    obligations: _Rules | None = None
    prices: _Prices | None = None


def check(raw: dict[str, Any]) -> None:
    """Check the types of the settings. Raises msgspec.ValidationError, which names the field."""
    convert(raw, _Settings)
