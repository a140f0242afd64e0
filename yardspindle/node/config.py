"""Configuration of a dispatcher: four environment variables, and a JSON file that may override three of them.

The variables are set by the operators' platform; `ROUTER_CONFIG` names the file.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from yardspindle import interface as i
from yardspindle.core.config import ConfigError
from yardspindle.core.hosts import connection_defaults
from yardspindle.core.hosts.address import ipv4_address
from yardspindle.core.hosts.host_list import ListAnswer, validate
from yardspindle.core.hosts.resource_budget import MIN_SOCKETS
from yardspindle.core.request.records import EdgeRules
from yardspindle.node import settings_schema
from yardspindle.settings_map import parse_settings

VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG")
MAX_CONFIG_BYTES = 16_777_216  # room for a list of a hundred thousand hosts; a larger file is an error
TRANSIENT_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EAGAIN)
MAX_REASON_CHARS = 300  # keeps an error to one line, whatever the file holds


class ConfigUnreadable(ConfigError):
    """The configuration file could not be read, which may pass: it says nothing about what the file holds."""

    def __init__(self, path: str, code: int | None, reason: str) -> None:
        """`code` and `reason`: the number and the text of the system's error."""
        super().__init__(f"{path}: {reason}")
        self.code = code

    @property
    def transient(self) -> bool:
        """Whether the system lacks what reading needs at the moment; if not, the file itself is at fault."""
        return self.code in TRANSIENT_ERRNOS

    @property
    def descriptors_exhausted(self) -> bool:
        """Whether this process had no file descriptor free."""
        return self.code == errno.EMFILE


class MachineLimits(Struct, frozen=True):
    """Resources of the machine."""

    cores: float = 1.0
    memory_mb: Annotated[int, Meta(gt=0)] = 2048
    sockets: Annotated[int, Meta(ge=MIN_SOCKETS)] = 1024


class _File(Struct, frozen=True):
    """The configuration file; `known` is the host list to start with until discovery (the platform's agent) answers."""

    settings: dict[str, Any]
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$")] = "0"
    limits: MachineLimits = MachineLimits()
    known: ListAnswer = ListAnswer(0, True)


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Checked configuration of a dispatcher. Times in microseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: MachineLimits
    known: ListAnswer
    settings: i.Settings
    rules: EdgeRules
    connect_us: int  # limit on opening a connection to a host
    idle_us: int  # time after which a host may close an idle connection

    @property
    def roles(self) -> dict[str, i.Role]:
        """The role of each kind of host: prefill (read), decode (write) or both."""
        return {kind.name: kind.role for kind in self.settings.kinds}


def required_variables(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the platform's variables. Raises ConfigError if one is not set."""
    for name in VARIABLES:
        if not environment.get(name):
            raise ConfigError(f"{name}: not set")
    return {name: environment[name] for name in VARIABLES}


def parse_config(variables: Mapping[str, str], data: bytes) -> NodeConfig:
    """Parse and check the configuration file. Raises ConfigError, which names file, field and reason."""
    file = variables["ROUTER_CONFIG"]
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError(f"{file}: over {MAX_CONFIG_BYTES} bytes")
    try:
        contents = msgspec.json.decode(data, type=_File)
    except msgspec.ValidationError as error:
        raise _validation_error(file, error) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:  # the last: nested too deeply
        raise ConfigError(f"{file}: invalid JSON: {_one_line(error)}") from None
    try:
        validate(contents.known)
    except ValueError as error:
        raise ConfigError(f"{file}: known: {_one_line(error)}") from None
    raw = contents.settings
    try:
        settings_schema.check(raw)
    except msgspec.ValidationError as error:
        raise _validation_error(file, error, "settings") from None
    try:
        mapped = parse_settings(raw)
    except KeyError as error:
        raise ConfigError(f"{file}: settings: missing key or unknown value: {_one_line(error)}") from None
    except (ValueError, TypeError, AttributeError, IndexError, OverflowError) as error:
        raise ConfigError(f"{file}: settings: {_one_line(error)}") from None
    # Limits on what the router may do. Those that the policy does not need (open requests, connections) are read
    # here, as `mapped`, its view of the settings, does not contain them.
    allowed = raw.get("allowed") or {}
    idle_us = connection_defaults.idle_us(mapped, allowed.get("conn-idle-us"))
    return NodeConfig(
        name=contents.name or variables["ROUTER_NAME"],
        listen=_address(file, "listen", contents.listen, variables["ROUTER_LISTEN"]),
        discovery=_address(file, "discovery", contents.discovery, variables["ROUTER_DISCOVERY"]),
        seed=int(contents.seed, 16),
        limits=contents.limits,
        known=contents.known,
        settings=mapped,
        rules=EdgeRules(
            effects={row.name: row.effect for row in mapped.classes},  # whether a request may be repeated
            release_us=mapped.release_us,
            drain_grace_us=mapped.drain_grace_us,
            answer_slack_us=mapped.answer_slack_us,
            retry_after_us=mapped.max_retry_after_us if mapped.retry_after else 0,
            max_attempts=mapped.max_attempts,
            max_open_requests=connection_defaults.max_open(allowed.get("max-open")),
            writers_read=mapped.writers_read,  # decode hosts may run the prefill, too
            resume=mapped.resume,  # clients can continue a broken stream with a new request
            release_by_request=True,
            idle_connection_us=idle_us,
        ),
        connect_us=connection_defaults.connect_us(mapped, allowed.get("connect-timeout-us")),
        idle_us=idle_us,
    )


def _validation_error(file: str, error: msgspec.ValidationError, part: str = "") -> ConfigError:
    reason, _, where = str(error).partition(" - at `$")
    field = ".".join(filter(None, (part, where.strip("`."))))
    return ConfigError(f"{file}: {_one_line(field or 'top level')}: {_one_line(reason)}")


def _one_line(text: object) -> str:
    return " ".join(str(text).split())[:MAX_REASON_CHARS]


def read_config(read_file: Callable[[str, int], bytes], variables: Mapping[str, str]) -> NodeConfig:
    """Read and check the configuration file. Raises ConfigUnreadable, or another ConfigError for its contents."""
    path = variables["ROUTER_CONFIG"]
    try:
        return parse_config(variables, read_file(path, MAX_CONFIG_BYTES + 1))
    except OSError as error:
        raise ConfigUnreadable(path, error.errno, error.strerror or str(error)) from None
    except MemoryError:
        raise ConfigUnreadable(path, errno.ENOMEM, os.strerror(errno.ENOMEM)) from None


def _address(file: str, field: str, text: str | None, variable: str) -> tuple[str, int]:
    try:
        return ipv4_address(variable if text is None else text)
    except ValueError as error:
        where = f"ROUTER_{field.upper()}" if text is None else f"{file}: {field}"
        raise ConfigError(f"{where}: {_one_line(error)}") from None
