"""Types of the settings that the operators' platform sets, checked first so that an error names the field at fault.

Unknown keys are ignored. yardspindle.settings_map says what the values mean, and what applies where one is absent: a
default here only makes the key optional. Bounds between fields are checked by yardspindle.interface.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, convert

Time = Annotated[float, Meta(ge=0, le=1e13)]  # microseconds; more than a hundred days is not plausible
Count = Annotated[int, Meta(ge=1, le=1 << 31)]
Amount = Annotated[float, Meta(ge=0, le=1e15)]
Name = Annotated[str, Meta(pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z")]  # a header value


class _Class(Struct, rename="kebab"):
    """A class: a kind of request with time limits and a value of its own."""

    name: Name
    goal_time_us: Annotated[float, Meta(gt=0, le=1e13)]
    give_up_us: Annotated[float, Meta(gt=0, le=1e13)]
    idempotency: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: str = "all"
    window_us: Time = 0
    worth: Amount = 1.0
    late_worth: Amount = 0.0


class _Tenant(Struct, rename="kebab"):
    name: str
    fraction: Amount = 0.0
    quota_per_s: Amount = 0.0


class _Family(Struct, rename="kebab"):
    """Properties of the model hosts; the tuples have one value for each kind of host (prefill, decode or both)."""

    duty_by_kind: tuple[Literal["read", "write", "both"], ...] | None = None
    memory_tokens: tuple[Amount, ...] | None = None
    aim_us_per_1000_prompt_tokens: tuple[Time, ...] | None = None
    token_aim_us: tuple[Time, ...] | None = None
    holds_allowed: bool = False
    read_in_place: bool = False
    resume: bool = False
    let_go_by_us: Annotated[float, Meta(ge=1, le=1e13)] = 1
    transfer_price: float = 0.0


class _Rules(Struct, rename="kebab"):
    drain_grace_us: Time = 0
    cold_us: Time = 0
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 1.0
    fall_multiple: Amount = 1.0
    fall_us: Time = 0
    answer_slack_us: Time = 0
    ask_within_us: Time = 0


class _Allowed(Struct, rename="kebab"):
    most_tries: Count = 1
    max_open: Time | None = None
    connect_timeout_us: Time | None = None
    conn_idle_us: Time | None = None
    max_retry_after_us: Time = 0
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False


class _Prices(Struct, rename="kebab"):
    late_fail: float = 0.0
    waste: float = 0.0
    cross_zone: float = 0.0


class _Settings(Struct, rename="kebab"):
    me: Annotated[int, Meta(ge=0)]
    instances: Count
    services: Annotated[tuple[_Class, ...], Meta(min_length=1)]
    shapes: Annotated[tuple[str, ...], Meta(min_length=1)]
    zone: str = ""
    realms: tuple[_Tenant, ...] | None = None
    membership_mode: str = "push"
    over_share_worth: float = 1.0
    tick_us: Annotated[float, Meta(ge=1, le=1e13)] = 1
    family_info: _Family | None = None
    allowed: _Allowed | None = None
    obligations: _Rules | None = None
    prices: _Prices | None = None


def check(raw: dict[str, Any]) -> None:
    """Check the types of the settings. Raises msgspec.ValidationError, which names the field."""
    convert(raw, _Settings)
