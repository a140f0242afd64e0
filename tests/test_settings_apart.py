"""Decisions depend only on the deployment's own settings: no deployment's name is built in, no state is shared."""

from __future__ import annotations

import ast
import copy
import importlib
import itertools
import json
import pkgutil
import random
import re
import subprocess
import sys
import tomllib
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import fields, replace
from functools import cache
from pathlib import Path
from typing import Any

import pytest

from tests import test_adapter
from tests.platform_standin import ENVIRONMENT, SETTINGS, Host, Platform
from yardspindle import interface as i
from yardspindle.core.request.records import EdgeRules
from yardspindle.node.app import Node
from yardspindle.node.config import NodeConfig, parse_config
from yardspindle.node.request import read_head
from yardspindle.policy import SWEEP_TOKEN, Policy
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream
from yardspindle.settings_map import parse_settings

ROOT = Path(__file__).parent.parent
EFFECTS = ("free", "guarded", "single_shot")
STATUSES = (
    i.Status.READ,
    i.Status.SERVED,
    i.Status.FULL,
    i.Status.RESET,
    i.Status.TIMEOUT,
    i.Status.CONNECT_FAILED,
    i.Status.ERROR,
)
NAMES = {
    "ask": "Ü1",
    "order": "ask",
    "third": "order",
    "t1": "t2",
    "t2": "ask",
    "reads": "writes",
    "writes": "m",
    "a": "b",
    "b": "zone c",
}  # some names are reused for another class, tenant, kind or zone


def raw_settings(effects: tuple[str, ...] = EFFECTS, changes: Mapping[str, Any] | None = None) -> dict[str, Any]:
    document = copy.deepcopy(SETTINGS)
    document["services"].append({"name": "third", "goal-time-us": 800_000, "give-up-us": 3_000_000, "worth": 4.0})
    for row, effect in zip(document["services"], effects, strict=True):
        row["idempotency"] = effect
    document["realms"] = [{"name": "t1", "fraction": 0.7}, {"name": "t2", "fraction": 0.3, "quota-per-s": 5}]
    document["prices"] = {"cross-zone": 0.1}
    document["obligations"] |= {"cold-us": 3_000_000, "start-capacity": 0.3}
    return {**document, **(changes or {})}


def renamed(document: dict[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    document = copy.deepcopy(document)
    for row in document["services"] + document["realms"]:
        row["name"] = names[row["name"]]
    return document | {"shapes": [names[kind] for kind in document["shapes"]], "zone": names[document["zone"]]}


def parse_document(found: dict[str, Any]) -> NodeConfig:
    return parse_config(ENVIRONMENT, json.dumps({"settings": found}).encode())


class EventGenerator:
    """Draws a policy's events from a seed, in response to its actions."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.random, self.now, self.seed = random.Random(seed), 1_000_000, seed
        self.classes = [row.name for row in settings.classes]
        self.tenants = [*(row.name for row in settings.tenants), None]
        self.kinds = [kind.name for kind in settings.kinds]
        self.in_flight: list[tuple[int, int, int]] = []
        self.places: list[tuple[int, int]] = []
        self.counts: dict[int, int] = {}
        self.open: dict[int, None] = {}
        self.timer_us: int | None = None
        self.entries = [
            i.Entry(100 + n, "ab"[n % 2], self.kinds[n % len(self.kinds)], n // 6, i.State.SERVING, 1.0 + n % 3)
            for n in range(18)
        ]

    def event(self) -> i.Event:
        rng = self.random
        self.now += rng.randrange(1, 8_000)
        if self.timer_us is not None and self.now >= self.timer_us:
            self.timer_us = None
            return i.Timer(SWEEP_TOKEN)
        roll = rng.random()
        if roll < 0.01 or self.now < 1_009_000:
            at = rng.randrange(len(self.entries))
            state = rng.choice([i.State.SERVING, i.State.SERVING, i.State.DRAINING])
            entry = self.entries[at]
            self.entries[at] = replace(entry, state=state, up_since_us=self.now)
            return i.Members(i.ListKind.COMPLETE, self.now, tuple(self.entries))
        if roll < 0.5 and self.in_flight:
            request, attempt, server = self.in_flight.pop(rng.randrange(len(self.in_flight)))
            if rng.random() < 0.2:
                self.in_flight.append((request, attempt, server))
                return i.First(request, attempt, server, rng.randrange(1, 200_000))
            reads = self.entries[server - 100].kind == self.kinds[0]
            status = STATUSES[0 if reads else 1] if rng.random() < 0.7 else rng.choice(STATUSES[2:])
            closed = status is i.Status.SERVED
            if closed:
                self.open.pop(request, None)
            return i.Outcome(
                request,
                attempt,
                server,
                status,
                rng.randrange(1, 300_000),
                closed,
                rng.choice([0, 0, 1]),
                stale=rng.random() < 0.1,
            )
        if roll < 0.6 and self.places:
            request, server = self.places.pop(rng.randrange(len(self.places)))
            return i.Note(request, 0, server, rng.random() < 0.7)
        if roll < 0.65 and self.open:
            return i.Hangup(rng.choice(list(self.open)))
        number = len(self.counts) + 1
        self.counts[number], self.open[number] = 0, None
        return i.Request(
            number,
            rng.choice(self.classes),
            self.now + rng.randrange(300_000, 4_000_000),
            rng.randrange(10, 8_000),
            rng.choice([0, 500]),
            rng.randrange(1, 400),
            rng.choice(self.tenants),
            rng.choice([None, "p", "q"]),
            f"s{rng.randrange(40)}",
            repeat=rng.random() < 0.1,
            resumed=rng.random() < 0.05,
        )

    def apply_actions(self, actions: list[i.Action]) -> None:
        for action in actions:
            match action:
                case i.Send():
                    self.in_flight.append((action.request, self.counts[action.request], action.server))
                    self.counts[action.request] += 1
                case i.Ahead():
                    self.places.append((action.request, action.server))
                case i.Cancel():
                    self.in_flight = [row for row in self.in_flight if row[:2] != (action.request, action.attempt)]
                case i.Refuse() | i.Fail():
                    self.open.pop(action.request, None)
                case i.SetTimer():
                    self.timer_us = action.due_us


def rename_event(event: i.Event, names: Mapping[str, str]) -> i.Event:
    if isinstance(event, i.Request):
        return replace(event, cls=names[event.cls], tenant=names[event.tenant] if event.tenant else None)
    if isinstance(event, i.Members):
        return replace(
            event,
            entries=tuple(replace(entry, zone=names[entry.zone], kind=names[entry.kind]) for entry in event.entries),
        )
    return event


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1"])
def test_a_class_and_a_tenant_are_known_by_the_settings_names_whatever_letters_they_have(encoding: str) -> None:
    """Guards against decoding headers as Latin-1 only: all requests of a class with a UTF-8 name were answered 400."""
    for name in ("ask", "Ü1", "niño 2", *(["čas", "任务"] if encoding == "utf-8" else [])):
        rules = parse_document(MINIMAL | {"services": [MINIMAL["services"][0] | {"name": name}]}).rules
        parser = http1.RequestParser()
        parser.feed(
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nreq-id: 1\r\nreq-deadline-ms: 9\r\nreq-kind: %s"
            b"\r\nreq-owner: %s\r\n\r\n" % ((name.encode(encoding),) * 2)
        )
        head = parser.next_event()
        assert isinstance(head, http1.RequestHead)
        request = read_head(head, rules.effects)
        assert (request.cls, request.tenant) == (name, name)


def decisions(settings: i.Settings, seed: int, steps: int = 700) -> Iterator[str]:
    """Yields the policy's actions at each step, as text."""
    policy, generator = Policy(settings, seed), EventGenerator(settings, seed)
    for _ in range(steps):
        event = generator.event()
        actions = policy.handle(generator.now, event)
        generator.apply_actions(actions)
        yield repr(actions)


@pytest.mark.parametrize("effects", list(itertools.permutations(EFFECTS)))
@pytest.mark.parametrize("seed", [1, 2])
def test_renamed_classes_tenants_kinds_and_zones_are_decided_on_alike(effects: tuple[str, ...], seed: int) -> None:
    settings, renamed_settings = (
        parse_settings(raw_settings(effects)),
        parse_settings(renamed(raw_settings(effects), NAMES)),
    )
    one, two, generator = Policy(settings, seed), Policy(renamed_settings, seed), EventGenerator(settings, seed)
    sent = 0
    for _ in range(1_200):
        event = generator.event()
        actions = one.handle(generator.now, event)
        assert actions == two.handle(generator.now, rename_event(event, NAMES))
        generator.apply_actions(actions)
        sent += sum(isinstance(action, i.Send) for action in actions)
    assert sent > 300 and len(generator.counts) > 200


def test_effects_do_change_decisions() -> None:
    """The test above would prove nothing if no drawn event made the policy depend on the effects."""
    every = list(itertools.permutations(EFFECTS))
    assert len({tuple(decisions(parse_settings(raw_settings(effects)), 1)) for effects in every}) > 1
    assert len({repr(run_dispatcher(raw_settings(effects), {})) for effects in every}) > 1


def test_configurations_that_take_turns_in_one_process_decide_as_each_alone() -> None:
    documents = [
        raw_settings(),
        renamed(raw_settings(EFFECTS[::-1], {"instances": 50}), NAMES),
        raw_settings(
            changes={
                "family-info": {"duty-by-kind": ["read", "write"], "holds-allowed": False},
                "prices": {},
                "allowed": {"most-tries": 3},
            }
        ),
    ]
    alone = [list(decisions(parse_document(document).settings, 7)) for document in documents]
    configs = [parse_document(document) for document in documents]  # all parsed before any policy decides
    by_turns = list(zip(*(decisions(config.settings, 7) for config in configs), strict=True))
    assert [list(column) for column in zip(*by_turns, strict=True)] == alone
    assert configs == [parse_document(document) for document in documents]
    assert alone[0] != alone[1] != alone[2]


@cache
def modules() -> tuple[str, ...]:
    """Returns the yardspindle modules that `run` imports, and all modules of the packages that decide."""
    code = "import sys, yardspindle.node.__main__; print(*(m for m in sys.modules if m.split('.')[0] == 'yardspindle'))"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True).stdout
    assert {"yardspindle.node.app", "yardspindle.policy.request_lifecycle", "yardspindle.settings_map"} < set(
        printed.split()
    )
    package_modules = (
        package_module.name
        for package in ("policy", "core", "node")
        for package_module in pkgutil.walk_packages(
            importlib.import_module(f"yardspindle.{package}").__path__, f"yardspindle.{package}."
        )
    )
    return tuple(dict.fromkeys([*printed.split(), *package_modules]))


def describe_state(value: object) -> str:
    """Describes an attribute of a module or class if it could hold a part of a configuration; otherwise ''."""
    if isinstance(value, type):
        return repr(
            {key: describe_state(attribute) for key, attribute in vars(value).items() if not key.startswith("__")}
        )
    is_data = isinstance(value, dict | list | set | tuple | int | float | str | bytes | frozenset | deque)
    return repr(value) if is_data else ""


def test_nothing_is_left_in_a_module_or_class_by_a_configuration_and_its_decisions() -> None:
    def globals_now() -> dict[str, str]:
        return {
            f"{name}.{key}": describe_state(value)
            for name in modules()
            if not name.endswith("__main__")
            for key, value in vars(importlib.import_module(name)).items()
            if not key.startswith("__")
        }

    globals_now()  # imports the modules, each of which then becomes an attribute of its package
    before = globals_now()
    for document, names in ((raw_settings(), {}), (renamed(raw_settings(), NAMES), NAMES)):
        list(decisions(parse_document(document).settings, 3))
        run_dispatcher(document, names)
    assert globals_now() == before and sum(map(bool, before.values())) > 200


class RenamedPlatform(Platform):
    """A platform whose kinds and zones are listed under other names."""

    names: Mapping[str, str] = {}

    def members(self) -> list[dict[str, Any]]:
        return [
            row | {key: self.names.get(row[key], row[key]) for key in ("flavor", "locality")}
            for row in super().members()
        ]


def run_dispatcher(document: dict[str, Any], names: Mapping[str, str]) -> list[tuple[int, int, list[tuple[str, str]]]]:
    """Runs a whole dispatcher; returns each answer's status and time, and the calls that each host received."""
    sim = Simulation(7)

    def main() -> list[tuple[int, int, list[tuple[str, str]]]]:
        platform = RenamedPlatform(sim)
        platform.names = names
        world = sim.program("node")
        node = Node(world, parse_config(ENVIRONMENT, json.dumps({"settings": document}).encode()))
        world.spawn("start", node.start).join()
        platform.hosts["writes-2"].script = reset_in_its_middle
        rows = []
        for at, cls in enumerate(["ask", "order", "third"] * 5):
            answer = platform.ask(b"id%d" % at, names.get(cls, cls).encode())
            rows.append(
                (
                    answer.status,
                    answer.took_us,
                    [(what, host) for what, host, number in platform.calls if number == b"id%d" % at],
                )
            )
        return rows

    rows = sim.run("main", main)
    assert sim.crashes == []
    return rows


def reset_in_its_middle(host: Host, to: Stream, number: bytes) -> bool:
    """Fails ambiguously: the request may have run, so the effect of its class decides about a retry."""
    to.abort()
    return False


@pytest.mark.parametrize("effects", list(itertools.permutations(EFFECTS)))
def test_a_whole_dispatcher_treats_renamed_classes_kinds_and_zones_alike(effects: tuple[str, ...]) -> None:
    assert run_dispatcher(raw_settings(effects), {}) == run_dispatcher(renamed(raw_settings(effects), NAMES), NAMES)


def sources(*packages: str) -> Iterator[tuple[Path, ast.Module]]:
    """Parses the sources of all modules, or of those in the given packages."""
    for name in modules():
        if not packages or name.startswith(tuple(f"yardspindle.{package}" for package in packages)):
            file = (
                Path(str(importlib.import_module(name).__file__))
                if not name.endswith("__main__")
                else (ROOT / "yardspindle" / "node" / "__main__.py")
            )
            yield file, ast.parse(file.read_text())


def test_run_takes_nothing_of_the_example_configuration_but_its_error() -> None:
    for file, tree in sources("node", "policy", "api", "settings_map", "protocol", "engine", "runtime"):
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module == "yardspindle.core.config":
                assert [name.name for name in node.names] == ["ConfigError"], file


def test_no_function_or_class_keeps_anything_in_a_cache_a_default_or_a_global() -> None:
    mutable = ast.List | ast.Dict | ast.Set | ast.ListComp | ast.DictComp | ast.SetComp
    for file, tree in sources():
        for node in ast.walk(tree):
            assert not isinstance(node, ast.Global), f"{file}: global"
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
                for default in [*node.args.defaults, *node.args.kw_defaults]:
                    assert not isinstance(default, mutable | ast.Call), f"{file}:{node.lineno}: a mutable default"
            if isinstance(node, ast.FunctionDef | ast.ClassDef):
                for decorator in node.decorator_list:
                    assert "cache" not in ast.unparse(decorator), f"{file}:{node.lineno}: a cache"
            # a Struct copies its defaults
            if isinstance(node, ast.ClassDef) and "Struct" not in map(ast.unparse, node.bases):
                for row in node.body:
                    assert not isinstance(getattr(row, "value", None), mutable), (
                        f"{file}:{row.lineno}: mutable class attribute"
                    )


def test_every_figure_of_the_policys_and_the_edges_settings_is_given_none_left_to_a_default() -> None:
    """A field left to its default in the interface would get a value chosen for another deployment."""
    argument_counts = {}
    for _, tree in sources("settings_map", "node.config"):
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                argument_counts[ast.unparse(node.func)] = len(node.args) + len(node.keywords)
    for name, wanted in (
        ("i.Settings", i.Settings),
        ("i.RequestClass", i.RequestClass),
        ("i.Kind", i.Kind),
        ("i.Tenant", i.Tenant),
        ("EdgeRules", EdgeRules),
    ):
        assert argument_counts[name] == len(fields(wanted)), name


def names_of(found: Mapping[str, Any]) -> set[str]:
    """Collects the names of classes, tenants, kinds and zones in settings or a site file, at any depth."""
    names: set[str] = set()
    for key, value in found.items():
        rows = value if isinstance(value, list) else [value]
        for row in rows:
            if isinstance(row, dict):
                names |= names_of(row)
            elif isinstance(row, str) and key in ("name", "names", "shapes", "zone", "zones", "kind", "kinds"):
                names.add(row)
    return names


def known_names() -> set[str]:
    names = names_of(raw_settings()) | names_of(test_adapter.SETUP)
    for site in sorted((ROOT / "deploy" / "sites").glob("*.toml")):
        names |= names_of(tomllib.loads(site.read_text()))
    return names


def literals(tree: ast.Module) -> set[str]:
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings
    }


def test_no_name_of_a_deployment_stands_in_the_program_or_the_deploy_file() -> None:
    names = known_names()
    assert {"ask", "order", "third", "t1", "reads", "writes", "a"} <= names
    for file, tree in sources():
        assert not literals(tree) & names or file == ROOT / "yardspindle" / "core" / "config.py", file
    assert not set(re.findall(r"[\w.-]+", (ROOT / "deploy" / "balancer.toml").read_text())) & names
    assert literals(ast.parse("'''ask'''\nx = {'t1': 'p'}['t1']")) & names == {"t1"}


MINIMAL: dict[str, Any] = {
    "me": 0,
    "instances": 1,
    "shapes": ["reads", "writes"],
    "family-info": {"duty-by-kind": ["read", "write"]},
    "services": [{"name": "ask", "goal-time-us": 100_000, "give-up-us": 800_000}],
}


def test_what_is_absent_is_not_allowed_not_granted_not_bounded_and_costs_nothing() -> None:
    config = parse_document(MINIMAL)
    settings = config.settings
    assert settings.classes[0] == i.RequestClass("ask", 100_000, 800_000, i.Effect.UNSAFE)
    assert not any(
        (
            settings.ahead,
            settings.writers_read,
            settings.resume,
            settings.second_copies,
            settings.cancel,
            settings.probes,
            settings.peers,
            settings.retry_after,
            settings.max_retry_after_us,
        )
    )
    assert not any(
        (settings.drain_grace_us, settings.answer_slack_us, settings.ask_within_us, settings.cold_us, settings.fall_us)
    )
    assert not any((settings.late_fail_price, settings.waste_price, settings.cross_zone_price, settings.far_price))
    assert settings.start_capacity == settings.fall_multiple == settings.over_share_worth == 1 and settings.list_pushed
    assert min(settings.release_us, config.rules.release_us) > 3_600_000_000 and settings.max_attempts > 1_000
    assert config.rules.max_open_requests > 100_000 and config.rules.retry_after_us == 0


@pytest.mark.parametrize("times", [1, 10, 100])
def test_unstated_times_of_connections_follow_the_classes(times: int) -> None:
    row = MINIMAL["services"][0]
    config = parse_document(MINIMAL | {"services": [row | {"give-up-us": row["give-up-us"] * times}]})
    assert (config.connect_us, config.idle_us) == (40_000 * times, 800_000 * times)
    stated = parse_document(MINIMAL | {"allowed": {"connect-timeout-us": 70_000, "conn-idle-us": 0, "max-open": 3}})
    assert (stated.connect_us, stated.idle_us, stated.rules.max_open_requests) == (70_000, 0, 3)


def test_the_least_settings_serve_a_request() -> None:
    """Guards against strict defaults: with a release time of 1 us and one attempt every request was refused at once."""
    policy = Policy(parse_document(MINIMAL).settings, 1)
    policy.handle(
        1,
        i.Members(
            i.ListKind.COMPLETE,
            1,
            (i.Entry(1, "", "reads", 0, i.State.SERVING, 1.0), i.Entry(2, "", "writes", 0, i.State.SERVING, 1.0)),
        ),
    )
    assert i.Send(9, 1) in policy.handle(2, i.Request(9, "ask", 800_000, 100))
    assert i.Send(9, 2) in policy.handle(50_000, i.Outcome(9, 0, 1, i.Status.READ, 50_000, False))
