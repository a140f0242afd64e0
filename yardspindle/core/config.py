"""The configuration: one TOML file for edge and planner, fully validated before anything starts.

The edge holds the client connections, the planner decides which server does what. An error is one line that names the
file, the key and the reason. Times are in milliseconds in the file and in microseconds in the programs. The defaults
suit a small fleet on one machine.
"""

from __future__ import annotations

import re
import tomllib
from typing import Annotated, Any, Literal, TypeVar

import msgspec
import xxhash
from msgspec import Meta, Struct, field

from yardspindle import interface as i
from yardspindle.core.request.records import EdgeRules

T = TypeVar("T")

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(gt=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$")]
ADDRESS = r"^(\[[0-9a-fA-F:]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$"
Address = Annotated[str, Meta(pattern=ADDRESS)]


class ConfigError(Exception):
    """An invalid configuration, as one line: file, key, reason."""


class ClassConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests.

    `effect` says whether a request may be repeated after it may have run: `safe` always, `keyed` only under an
    idempotency key, `unsafe` never. The answer should begin within `aim_ms`, plus `aim_ms_per_1000_prompt_tokens` for
    long prompts; its client waits `give_up_ms` for that. `token_aim_ms` is the target time for each output token (0:
    not set). `worth` and `late_worth` are the values of an answer in time and of a late one.
    """

    name: Name
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    aim_ms: Positive = 1_500.0
    give_up_ms: Positive = 7_500.0
    aim_ms_per_1000_prompt_tokens: NotNegative = 0.0
    token_aim_ms: NotNegative = 0.0
    worth: Positive = 1.0
    late_worth: NotNegative = 0.0


class KindConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A kind of engine host; `role` is the stage that it runs: `read` (prefill), `write` (decode) or both."""

    name: Name
    role: Literal["read", "write", "both"]
    memory_tokens: NotNegative = 0.0


class TenantConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """A tenant (customer) and the API keys that its clients send.

    `share` is its fraction of the service, `quota_per_s` its requests per second over all edges; 0: not stated. Neither
    limits its requests: the policy only derives the arrival rate to expect at its start from the quotas.
    """

    name: Name
    keys: tuple[Annotated[str, Meta(min_length=8, max_length=256)], ...]
    share: NotNegative = 0.0
    quota_per_s: NotNegative = 0.0


class RulesConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """What the operators state of their engines and of the rules for retries, drains and answers.

    `release_ms` limits how long an engine may hold unused KV states and reserved memory (for the roll-out of a version
    see `ReleaseConfig`). A draining server may be sent requests for `drain_grace_ms`. `cold_ms` is the time until a
    started server has its full capacity, `start_capacity` the fraction at its start. Such a server is assumed to fail
    if all edges together send it more than `fall_multiple` times its current capacity within `fall_ms`.

    A request's deadline at the edge is `answer_margin_ms` before its client gives up. A final answer up to
    `answer_slack_ms` after the deadline is in time; the slack is less than the margin, so the client still gets it.
    """

    release_ms: Positive = 300.0
    drain_grace_ms: NotNegative = 500.0
    cold_ms: NotNegative = 14_000.0
    start_capacity: Fraction = 0.26
    fall_multiple: Positive = 2.5
    fall_ms: NotNegative = 2_000.0
    answer_slack_ms: Positive = 40.0
    answer_margin_ms: Positive = 80.0
    max_attempts: Annotated[int, Meta(ge=2, le=32)] = 6
    max_retry_after_ms: NotNegative = 2_000.0


class EdgeConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The edge: where it listens, and its limits. `number` is its index, from 0, among all `dispatchers` (edges).

    Clients: `idle_ms` limits the wait for the first byte of the next request on a connection, `header_ms` that for the
    rest of the request's head, `stalled_client_ms` a write that blocks because the client does not read. `drain_ms`
    limits a shutdown. Engines: `connect_ms` limits connecting, `engine_idle_ms` is the longest idle time after which a
    connection is reused, `stalled_stream_ms` limits the wait for a stream's next event. The link to a planner that
    leaves a batch of events unanswered for `planner_silent_ms` is cut.
    """

    listen: Address = "127.0.0.1:0"
    planner: Address = "127.0.0.1:7600"
    zone: str = "local"
    number: Annotated[int, Meta(ge=0)] = 0
    dispatchers: Annotated[int, Meta(ge=1)] = 1
    max_open_requests: Annotated[int, Meta(ge=1)] = 20_000
    max_body_bytes: Annotated[int, Meta(ge=1_024)] = 16_777_216
    idle_ms: Positive = 75_000.0
    header_ms: Positive = 10_000.0
    stalled_client_ms: Positive = 15_000.0
    drain_ms: NotNegative = 30_000.0
    planner_silent_ms: Positive = 1_000.0
    connect_ms: Positive = 1_000.0
    engine_idle_ms: Positive = 4_000.0
    stalled_stream_ms: Positive = 30_000.0
    default_class: Name | None = None
    default_max_tokens: Annotated[int, Meta(ge=1)] = 1_024


class PlannerConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The planner: where it listens, and its server list."""

    listen: Address = "127.0.0.1:7600"
    servers: Annotated[str, Meta(min_length=1)] = "servers.toml"
    reread_ms: Positive = 200.0
    metrics: Address | None = None


class IndexConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The prefix index: from cache events, with estimates where there are none (`auto`), from estimates, or off."""

    mode: Literal["auto", "events", "guess", "off"] = "events"
    block_size: Annotated[int, Meta(ge=1, le=4_096)] = 16
    max_blocks: Annotated[int, Meta(ge=1)] = 1_000_000
    tokenizer: str = "bytes"
    chat_template: str = ""


StoreLocation = Annotated[str, Meta(pattern=r"^(http://.+|file:.+)$")]


class FleetConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet's shared store (a key-value store: etcd or a file) and this process's membership.

    Without `store`, nothing is shared. `ttl_ms` is a lease's time to live, and the owner of a duty (a background task
    with one owner at a time) stops `margin_ms` before its lease ends. `call_ms` limits a call to one member of the
    store. A member whose clock differs from the fleet's median by more than `clock_bound_ms` owns no duty. With
    `ask_leave` an edge asks the store for a permit to be out of service before it shuts down; after `leave_wait_ms` it
    shuts down without one.
    """

    store: tuple[StoreLocation, ...] = ()
    name: Name = "main"
    member: Name | None = None
    listen: Address = "127.0.0.1:0"
    advertise: Address | None = None
    ttl_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 3_000.0
    margin_ms: NotNegative = 300.0
    call_ms: Positive = 500.0
    clock_bound_ms: Positive = 5_000.0
    ask_leave: bool = False
    leave_wait_ms: NotNegative = 10_000.0


class Limit(Struct, forbid_unknown_fields=True, frozen=True):
    """For each value of a group, or the one named by `only`: the most units out of service and the fewest serving.

    A unit is a dispatcher or model host that a release restarts.
    """

    group: Literal["all", "zone", "cell", "role", "kind", "rack"]
    only: str = ""
    most_out: Annotated[int, Meta(ge=0)] | None = None
    most_out_share: Annotated[float, Meta(ge=0, le=1)] | None = None
    least_serving: Annotated[int, Meta(ge=0)] | None = None


class ReleaseConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """The roll-out of a version: how many units may be out of service at once."""

    limit: tuple[Limit, ...] = ()


class LogConfig(Struct, forbid_unknown_fields=True, frozen=True):
    """Logs are written to standard error."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


DEFAULT_CLASSES = (ClassConfig("chat", "safe"), ClassConfig("order", "unsafe", worth=3.0))
DEFAULT_KINDS = (KindConfig("reader", "read", 200_000), KindConfig("writer", "write", 160_000))


class Config(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration file."""

    model: Annotated[str, Meta(min_length=1, max_length=200)] = "yardspindle-demo"
    classes: tuple[ClassConfig, ...] = DEFAULT_CLASSES
    kinds: tuple[KindConfig, ...] = DEFAULT_KINDS
    tenants: tuple[TenantConfig, ...] = ()
    rules: RulesConfig = field(default_factory=RulesConfig)
    edge: EdgeConfig = field(default_factory=EdgeConfig)
    planner: PlannerConfig = field(default_factory=PlannerConfig)
    index: IndexConfig = field(default_factory=IndexConfig)
    fleet: FleetConfig = field(default_factory=FleetConfig)
    release: ReleaseConfig = field(default_factory=ReleaseConfig)
    log: LogConfig = field(default_factory=LogConfig)


def parse(file: str, data: bytes) -> Config:
    """Parses and validates a configuration. Raises ConfigError."""
    config = decode_toml(file, data, Config)
    _check_unique(file, "classes", [row.name for row in config.classes])
    _check_unique(file, "kinds", [row.name for row in config.kinds])
    _check_unique(file, "tenants", [row.name for row in config.tenants], may_be_empty=True)
    keys = [key for row in config.tenants for key in row.keys]
    if len(set(keys)) < len(keys):
        raise ConfigError(f"{file}: tenants: a key comes twice")
    for row in config.classes:
        if row.aim_ms > row.give_up_ms:
            raise ConfigError(f"{file}: classes.{row.name}.aim_ms: over give_up_ms ({row.give_up_ms:g})")
        if row.give_up_ms <= 2 * config.rules.answer_margin_ms:
            raise ConfigError(f"{file}: classes.{row.name}.give_up_ms: not over twice rules.answer_margin_ms")
    if config.rules.answer_slack_ms >= config.rules.answer_margin_ms:
        raise ConfigError(
            f"{file}: rules.answer_slack_ms: not under answer_margin_ms ({config.rules.answer_margin_ms:g})"
        )
    if config.index.tokenizer != "bytes" and not config.index.chat_template:
        raise ConfigError(f"{file}: index.chat_template: missing; a model's tokenizer needs its template")
    roles = {row.role for row in config.kinds}
    if "both" not in roles and roles != {"read", "write"}:
        raise ConfigError(f"{file}: kinds: needs one with role read and one with role write, or one with role both")
    if config.edge.number >= config.edge.dispatchers:
        raise ConfigError(f"{file}: edge.number: not under edge.dispatchers ({config.edge.dispatchers})")
    if config.edge.default_class is not None and config.edge.default_class not in {r.name for r in config.classes}:
        raise ConfigError(f"{file}: edge.default_class: no such class: {config.edge.default_class}")
    _check_fleet(file, config.fleet)
    for key, address in (
        ("fleet.listen", config.fleet.listen),
        ("fleet.advertise", config.fleet.advertise),
        ("edge.listen", config.edge.listen),
        ("edge.planner", config.edge.planner),
        ("planner.listen", config.planner.listen),
        ("planner.metrics", config.planner.metrics),
    ):
        if address is not None and not _address_in_range(address):
            raise ConfigError(f"{file}: {key}: not an address with a port up to 65535: {address}")
    return config


def _check_fleet(file: str, fleet: FleetConfig) -> None:
    """Validates the fleet section. Raises ConfigError."""
    for location in fleet.store:
        address = location.removeprefix("http://")
        if address != location and (re.fullmatch(ADDRESS, address) is None or not _address_in_range(address)):
            raise ConfigError(f"{file}: fleet.store: expected http://ADDRESS:PORT, got {location}")
    if len(fleet.store) > 1 and any(location.startswith("file:") for location in fleet.store):
        raise ConfigError(f"{file}: fleet.store: a file: store must be the only entry")
    if 4 * fleet.call_ms > fleet.ttl_ms:
        raise ConfigError(
            f"{file}: fleet.call_ms: over a quarter of ttl_ms ({fleet.ttl_ms:g}): one slow call would cost the lease"
        )
    if 3 * fleet.margin_ms > fleet.ttl_ms:
        raise ConfigError(f"{file}: fleet.margin_ms: over a third of ttl_ms ({fleet.ttl_ms:g})")


def decode_toml(file: str, data: bytes, kind: type[T]) -> T:
    """Decodes TOML into a validated value. Raises ConfigError naming file, key and reason."""
    try:
        raw: Any = tomllib.loads(data.decode())
    except UnicodeDecodeError as error:
        raise ConfigError(f"{file}: byte {error.start}: not UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{file}: not TOML: {error}") from None
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{file}: {_format_error(str(error))}") from None


def _format_error(message: str) -> str:
    reason, _, path = message.partition(" - at `")
    key = path.rstrip("`").removeprefix("$").lstrip(".") or "(top)"
    unknown = re.fullmatch(r"Object contains unknown field `(.*)`", reason)
    if unknown is not None:
        return f"{key}.{unknown[1]}: unknown key".removeprefix("(top).")
    missing = re.fullmatch(r"Object missing required field `(.*)`", reason)
    if missing is not None:
        return f"{key}.{missing[1]}: missing".removeprefix("(top).")
    return f"{key}: {reason[:1].lower()}{reason[1:]}"


def _check_unique(file: str, key: str, names: list[str], may_be_empty: bool = False) -> None:
    if not names and not may_be_empty:
        raise ConfigError(f"{file}: {key}: empty")
    for name in names:
        if names.count(name) > 1:
            raise ConfigError(f"{file}: {key}: {name} comes twice")


def _address_in_range(address: str) -> bool:
    host, port = split_address(address)
    numbers = host.split(".") if ":" not in host else []
    return port <= 65_535 and all(int(n) <= 255 for n in numbers)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `127.0.0.1:80` or `[::1]:80`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def microseconds(milliseconds: float) -> int:
    """Converts milliseconds to whole microseconds."""
    return round(milliseconds * 1_000)


def policy_settings(config: Config, number: int, dispatchers: int, zone: str) -> i.Settings:
    """The settings with which the policy of one edge starts."""
    us = microseconds
    rules = config.rules
    return i.Settings(
        me=number,
        instances=dispatchers,
        zone=zone,
        classes=tuple(
            i.RequestClass(
                row.name,
                aim_us=us(row.aim_ms),
                give_up_us=us(row.give_up_ms),
                effect=i.Effect(row.effect),
                worth=row.worth,
                late_worth=row.late_worth,
                aim_us_per_1000_prompt_tokens=us(row.aim_ms_per_1000_prompt_tokens),
                token_aim_us=us(row.token_aim_ms),
            )
            for row in config.classes
        ),
        kinds=tuple(i.Kind(row.name, i.Role(row.role), row.memory_tokens) for row in config.kinds),
        tenants=tuple(i.Tenant(row.name, row.share, row.quota_per_s) for row in config.tenants),
        release_us=us(rules.release_ms),
        drain_grace_us=us(rules.drain_grace_ms),
        cold_us=us(rules.cold_ms),
        start_capacity=rules.start_capacity,
        fall_multiple=rules.fall_multiple,
        fall_us=us(rules.fall_ms),
        answer_slack_us=us(rules.answer_slack_ms),
        max_attempts=rules.max_attempts,
        cancel=True,
        retry_after=True,
        max_retry_after_us=us(rules.max_retry_after_ms),
    )


def edge_rules(config: Config) -> EdgeRules:
    """The settings of the edge's interlocks: its rules that override actions of the policy, which the planner runs."""
    rules = config.rules
    return EdgeRules(
        effects={row.name: i.Effect(row.effect) for row in config.classes},
        release_us=microseconds(rules.release_ms),
        drain_grace_us=microseconds(rules.drain_grace_ms),
        answer_slack_us=microseconds(rules.answer_slack_ms),
        retry_after_us=microseconds(rules.max_retry_after_ms),
        max_attempts=rules.max_attempts,
        max_open_requests=config.edge.max_open_requests,
    )


def settings_hash(config: Config) -> str:
    """A hash of what edge and planner must agree on: classes, kinds, tenants (customers) and rules."""
    shared = (config.classes, config.kinds, [row.name for row in config.tenants], config.rules)
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(shared))
