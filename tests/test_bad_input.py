"""Malformed, truncated, nested and oversized lists and configurations: one error line, bounded time, no change."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent
from tests.platform_standin import ENVIRONMENT, SETTINGS, Platform, plain
from tests.test_node_discovery import Follower, run_with_watch
from yardspindle.core.config import ConfigError
from yardspindle.core.hosts.host_list import parse_answer
from yardspindle.node.app import Node
from yardspindle.node.config import MAX_CONFIG_BYTES, parse_config
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream

GOOD: dict[str, Any] = {"id": "h1", "host_port": "10.3.0.1:9000", "flavor": "reads"}
DEEP_NESTING = b"[" * 200_000
LONG_NUMBER = b"9" * 4_000  # digits


def list_document(*members: dict[str, Any], **extra_fields: Any) -> bytes:
    return json.dumps({"revision": 9, "complete": True, "members": list(members)} | extra_fields).encode()


def list_with_value(key: str, value: bytes) -> bytes:
    """Returns a list document whose second entry has the given raw value under `key`."""
    remaining = {name: field for name, field in GOOD.items() if name != key}
    return (
        b'{"revision":9,"complete":true,"members":['
        + json.dumps(GOOD | {"id": "h0"}).encode()
        + b","
        + json.dumps(remaining).encode()[:-1]
        + b',"%s":%s}]}' % (key.encode(), value)
    )


ADDRESSES = (
    "",
    "x",
    "10.3.0.1",
    "10.3.0.1:",
    ":9000",
    "10.3.0.1:0",
    "10.3.0.1:65536",
    "10.3.0.1:99999",
    "10.3.0.1:-1",
    "10.3.0.1:9000\n",
    "10.3.0.1:09000",
    "10.3.0.1:9_0",
    "256.3.0.1:9000",
    "999.3.0.1:9000",
    "10.3.1:9000",
    "10.3.0.1.5:9000",
    "1.2.3.4.5:1",
    "10..0.1:9000",
    "010.3.0.1:9000",
    "[::1]:9000",
    "host:9000",
    " 10.3.0.1:9000",
    "10.3.0.1:9000 ",
    "10.3.0.1:١٢",
    "１０.3.0.1:9000",
    "....:1",
    "10.3.0.1:90000000000000",
)
BAD_LISTS: dict[str, bytes] = {
    "nothing": b"",
    "a space": b" ",
    "null": b"null",
    "a number": b"7",
    "a list": b"[]",
    "an empty object": b"{}",
    "no JSON": b"<html>",
    "two values": list_document(GOOD) + b"{}",
    "bytes": b"\x00\xff\xfe",
    "a BOM": b"\xef\xbb\xbf" + list_document(GOOD),
    "half": list_document(GOOD)[:-9],
    "UTF-16": list_document(GOOD).decode().encode("utf-16"),
    "nested lists": DEEP_NESTING,
    "nested objects": b'{"x":' * 200_000,
    "nested, closed": b'{"revision":9,"complete":true,"x":' + DEEP_NESTING + b"]" * 200_000 + b"}",
    "nested, 4 MB": b"[" * 4_190_000,
    "nested, 4 MB, closed": (b'{"revision":9,"complete":true,"members":' + b"[" * 2_000_000 + b"]" * 2_000_000 + b"}"),
    "empty lists, 4 MB": b'{"revision":9,"complete":true,"members":[' + b"[]," * 1_390_000 + b"[]]}",
    "nested in an entry": list_with_value("unknown", DEEP_NESTING),
    "no revision": b'{"complete":true,"members":[]}',
    "no complete": b'{"revision":9,"members":[]}',
    "revision under 0": list_document(GOOD, revision=-1),
    "revision a text": list_document(GOOD, revision="9"),
    "revision a fraction": list_document(GOOD, revision=9.5),
    "revision over all": list_document(GOOD, revision=1 << 64),
    "revision of digits": b'{"revision":' + LONG_NUMBER + b',"complete":true,"members":[]}',
    "revision NaN": list_document(GOOD, revision=float("nan")),
    "complete a number": list_document(GOOD, complete=1),
    "members an object": list_document(members={}),
    "members null": list_document(members=None),
    "members numbers": list_document(members=[1]),
    "an entry null": list_document(members=[None]),
    "an entry a list": list_document(members=[[]]),
    "no id": list_with_value("unknown", b"1").replace(b'"id": "h1", ', b""),
    "twice": list_document(GOOD, GOOD),
    "id empty": list_with_value("id", b'""'),
    "id null": list_with_value("id", b"null"),
    "id a number": list_with_value("id", b"7"),
    "id too long": list_with_value("id", b'"%s"' % (b"x" * 1_025)),
    "id half a pair": list_with_value("id", b'"\\ud800"'),
    "id no UTF-8": list_with_value("id", b'"\xff"'),
    "id cut": list_with_value("id", b'"\\u12"'),
    "no address": list_with_value("unknown", b"1").replace(
        b'"host_port": "10.3.0.1:9000", "flavor": "reads","unk', b'"unk'
    ),
    "locality a number": list_with_value("locality", b"1"),
    "flavor null": list_with_value("flavor", b"null"),
    "cell a text": list_with_value("cell", b'"a"'),
    "cell a fraction": list_with_value("cell", b"1.5"),
    "cell over": list_with_value("cell", LONG_NUMBER),
    "phase null": list_with_value("phase", b"null"),
    "size NaN": list_with_value("size", b"NaN"),
    "size Infinity": list_with_value("size", b"Infinity"),
    "size too long": list_with_value("size", b"1e999"),
    "size under 0": list_with_value("size", b"-1"),
    "size over": list_with_value("size", b"1e300"),
    "size true": list_with_value("size", b"true"),
    "start NaN": list_with_value("up_since_ms", b"NaN"),
    "start over": list_with_value("up_since_ms", b"1e308"),
    "start under 0": list_with_value("up_since_ms", b"-1"),
    **{f"address {text!r}": list_with_value("host_port", json.dumps(text).encode()) for text in ADDRESSES},
}


@pytest.mark.parametrize("name", BAD_LISTS)
def test_a_bad_list_is_refused_whole_in_one_line_and_changes_nothing(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    began = time.perf_counter()
    with pytest.raises(ValueError):
        parse_answer(BAD_LISTS[name])
    assert time.perf_counter() - began < 0.5

    def main(follower: Follower, agent: Agent) -> None:
        agent.fixed_body, agent.revision = BAD_LISTS[name], 9
        follower.world.sleep_until(follower.world.now_us() + 500_000)
        assert follower.applied_lists == [(5, ["h0", "h1"])]
        agent.fixed_body = None
        follower.wait_until(lambda: follower.hosts.revision == 9, 250_000)

    run_with_watch(main)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("discovery is not heard fault=") and len(lines[0]) <= 400


@pytest.mark.parametrize("length", ["told", "chunks", "to the end"])
def test_an_oversized_list_is_refused_in_one_line_and_changes_nothing(
    length: str, capsys: pytest.CaptureFixture[str]
) -> None:
    def oversized(agent: Agent, stream: Stream, answer: bytes) -> None:
        body = list_document(GOOD) + b" " * 5_000_000
        if length == "told":
            stream.write(plain(200, body))
        elif length == "chunks":
            stream.write(a.ENDLESS + http1.write_chunk(body) + http1.LAST_CHUNK)
        else:
            stream.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + body)
        stream.close()

    def main(follower: Follower, agent: Agent) -> None:
        agent.fault, agent.faulty_answers = oversized, 1
        agent.drain()
        follower.wait_until(lambda: follower.hosts.revision == 6, 6_000_000)
        assert follower.applied_lists == [(5, ["h0", "h1"]), (6, ["h1"])]

    run_with_watch(main)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and "too large" in lines[0]


def test_what_a_list_may_hold_is_read() -> None:
    odd = GOOD | {"id": "é😀", "host_port": "255.255.255.255:65535", "cell": -1, "phase": "Odd", "size": 0, "more": [1]}
    answer = parse_answer(list_document(odd, {"id": "gone", "phase": "Gone"}, more={"x": None}))
    assert [found.id for found in answer.members] == ["é😀", "gone"]
    assert len(parse_answer(list_document(GOOD, GOOD | {"phase": "Terminating"}, complete=False)).members) == 2


def config_document(**changes: Any) -> bytes:
    return json.dumps({"settings": SETTINGS} | changes).encode()


def with_settings(**changes: Any) -> bytes:
    return config_document(settings=SETTINGS | {key.replace("_", "-"): value for key, value in changes.items()})


def with_class(**changes: Any) -> bytes:
    return with_settings(services=[SETTINGS["services"][0] | {key.replace("_", "-"): v for key, v in changes.items()}])


KNOWN_LIST: dict[str, Any] = {"revision": 1, "complete": True}
BAD_CONFIGURATIONS: dict[str, bytes] = {
    "nothing": b"",
    "null": b"null",
    "a list": b"[]",
    "bytes": b"\x00\xff",
    "half": config_document()[:-5],
    "two": config_document() * 2,
    "a BOM": b"\xef\xbb\xbf" + config_document(),
    "nested": b'{"settings":' + DEEP_NESTING,
    "nested, unknown": b'{"x":' + DEEP_NESTING,
    "nested, closed": b'{"settings":{"x":' + DEEP_NESTING + b"]" * 200_000 + b"}}",
    "oversized": config_document() + b" " * MAX_CONFIG_BYTES,
    "no settings": b"{}",
    "settings null": config_document(settings=None),
    "settings a list": config_document(settings=[]),
    "settings empty": config_document(settings={}),
    "NaN": with_class(goal_time_us=float("nan")),
    "Infinity": with_class(give_up_us=float("inf")),
    "a long number": config_document().replace(b"7500000", b"1e999"),
    "digits": config_document().replace(b"7500000", LONG_NUMBER),
    "half a pair": config_document().replace(b'"ask"', b'"\\ud800"'),
    "no UTF-8": config_document().replace(b'"ask"', b'"\xff"'),
    **{f"listen {text!r}": config_document(listen=text) for text in ADDRESSES},
    **{f"discovery {text!r}": config_document(discovery=text) for text in ADDRESSES},
    "listen a number": config_document(listen=1),
    "name a number": config_document(name=7),
    "seed": config_document(seed="xyz"),
    "seed too long": config_document(seed="1" * 33),
    "limits a list": config_document(limits=[]),
    "memory 0": config_document(limits={"memory_mb": 0}),
    "sockets a fraction": config_document(limits={"sockets": 20.5}),
    "known a list": config_document(known=[]),
    "known half": config_document(known={"revision": 1}),
    "known's address": config_document(known=KNOWN_LIST | {"members": [GOOD | {"host_port": "10.3.0.1:99999"}]}),
    "known without address": config_document(known=KNOWN_LIST | {"members": [{"id": "h"}]}),
    "known twice": config_document(known=KNOWN_LIST | {"members": [GOOD, GOOD]}),
    "no classes": with_settings(services=[]),
    "classes null": with_settings(services=None),
    "a class null": with_settings(services=[None]),
    "a class empty": with_settings(services=[{}]),
    "classes an object": with_settings(services={}),
    "a class twice": with_settings(services=SETTINGS["services"] * 2),
    "class unnamed": with_class(name=""),
    "class of control": with_class(name="a\nb"),
    "class null": with_class(name=None),
    "class a number": with_class(name=3),
    "effect": with_class(idempotency="FREE"),
    "effect null": with_class(idempotency=None),
    "worth a text": with_class(worth="1"),
    "worth under 0": with_class(worth=-1),
    "worth true": with_class(worth=True),
    "aim 0": with_class(goal_time_us=0),
    "aim over all": with_class(goal_time_us=10**400),
    "give up under aim": with_class(give_up_us=1),
    "give up under 0": with_class(give_up_us=-1),
    "no kinds": with_settings(shapes=[]),
    "a kind twice": with_settings(shapes=["reads", "reads"]),
    "kinds a text": with_settings(shapes="r"),
    "a kind null": with_settings(shapes=[None]),
    "a role": with_settings(family_info={"duty-by-kind": ["read", "neither"]}),
    "a role a number": with_settings(family_info={"duty-by-kind": [0, 1]}),
    "roles a text": with_settings(family_info={"duty-by-kind": "r"}),
    "memory a text": with_settings(family_info={"memory-tokens": ["9"]}),
    "memory under 0": with_settings(family_info={"memory-tokens": [-1]}),
    "let go 0": with_settings(family_info={"let-go-by-us": 0}),
    "let go over": with_settings(family_info={"let-go-by-us": 1e300}),
    "me under 0": with_settings(me=-1),
    "me over": with_settings(me=2),
    "me a fraction": with_settings(me=0.5),
    "instances 0": with_settings(instances=0),
    "instances over": with_settings(instances=10**400),
    "zone null": with_settings(zone=None),
    "tenants an object": with_settings(realms={}),
    "a tenant unnamed": with_settings(realms=[{}]),
    "a share under 0": with_settings(realms=[{"name": "t", "fraction": -1}]),
    "tries 0": with_settings(allowed={"most-tries": 0}),
    "tries a text": with_settings(allowed={"most-tries": "6"}),
    "cancel a number": with_settings(allowed={"cancel": 1}),
    "idle under 0": with_settings(allowed={"conn-idle-us": -1}),
    "grace a text": with_settings(obligations={"drain-grace-us": "1"}),
    "start over": with_settings(obligations={"start-capacity": 1.5}),
    "tick 0": with_settings(tick_us=0),
    "prices a text": with_settings(prices={"waste": "much"}),
    "a long name twice": with_settings(shapes=["x" * 100_000, "x" * 100_000]),
}


@pytest.mark.parametrize("name", BAD_CONFIGURATIONS)
def test_a_bad_configuration_is_one_line_in_bounded_time(name: str) -> None:
    began = time.perf_counter()
    with pytest.raises(ConfigError) as caught:
        parse_config(ENVIRONMENT, BAD_CONFIGURATIONS[name])
    assert time.perf_counter() - began < 0.5
    text = str(caught.value)
    assert text.startswith("/config.json: ") and len(text.splitlines()) == 1 and 16 < len(text) < 700


def test_the_configuration_that_the_bad_ones_are_made_of_is_good() -> None:
    for good in (
        config_document(),
        with_class(),
        with_settings(),
        config_document(listen="10.1.0.1:9000", known=KNOWN_LIST | {"members": [GOOD]}),
    ):
        parse_config(ENVIRONMENT, good)


SLOW_START = {"cold-us": 3_000_000, "fall-us": 500_000, "fall-multiple": 1.2}
ZEROS = dict.fromkeys(("drain-grace-us", "cold-us", "fall-multiple", "fall-us", "answer-slack-us", "ask-within-us"), 0)
UNUSUAL_SETTINGS: dict[str, dict[str, Any]] = {
    "no obligations": {"obligations": None},
    "nothing allowed": {"allowed": None},
    "zeros": {"obligations": ZEROS},
    "a start at 1": {"obligations": SLOW_START | {"start-capacity": 1}},
    "no ramp": {"obligations": SLOW_START | {"start-capacity": 0.3, "cold-us": 0}},
    "hardly a start": {"obligations": SLOW_START | {"start-capacity": 1e-9}},
    "nothing open or kept": {"allowed": {"max-open": 0, "connect-timeout-us": 0, "conn-idle-us": 0}},
    "no costs": {"prices": None},
    "costs of 0": {"prices": {"late-fail": 0, "waste": 0, "cross-zone": 0}},
    "worth 0": {"services": [row | {"worth": 0, "late-worth": 0} for row in SETTINGS["services"]]},
    "no shares": {"realms": None},
    "a share of 0": {"realms": [{"name": "t", "fraction": 0, "quota-per-s": 0}]},
    "no memory": {"family-info": SETTINGS["family-info"] | {"memory-tokens": [0, 0]}},
    "one dispatcher": {"me": 0, "instances": 1},
    "the last of many": {"me": 199, "instances": 200},
}


@pytest.mark.parametrize("hosts", ["one of each", "all"])
@pytest.mark.parametrize("name", UNUSUAL_SETTINGS)
def test_settings_of_zeros_ones_and_nothing_serve(name: str, hosts: str) -> None:
    def main() -> None:
        platform = Platform(sim)
        if hosts == "one of each":
            platform.hosts = {name: platform.hosts[name] for name in ("reads-0", "writes-2")}
        world = sim.program("node")
        node = Node(world, parse_config(ENVIRONMENT, config_document(settings=SETTINGS | UNUSUAL_SETTINGS[name])))
        world.spawn("start", node.start).join()
        assert [platform.ask(b"id%d" % at).status for at in range(9)] == [200] * 9

    sim = Simulation(3)
    sim.run("main", main)
    assert sim.crashes == []
