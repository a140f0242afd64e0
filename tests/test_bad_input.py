"""Malformed, half, endless and oversized lists and configurations: one line, in bounded time, and nothing changes."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from tests import agent_standin as a
from tests.agent_standin import Agent
from tests.platform_standin import SETTINGS, TOLD, Platform, plain
from tests.test_node_discovery import Follower, play
from yardspindle.core.config import ConfigError
from yardspindle.core.hosts.host_list import parse_answer
from yardspindle.node.app import Node
from yardspindle.node.config import MAX_CONFIG_BYTES, parse_config
from yardspindle.protocol import http1
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream

GOOD: dict[str, Any] = {"id": "h1", "host_port": "10.3.0.1:9000", "flavor": "reads"}
MANY = b"[" * 200_000
HUGE = b"9" * 4_000  # digits


def listed(*members: dict[str, Any], **more: Any) -> bytes:
    return json.dumps({"revision": 9, "complete": True, "members": list(members)} | more).encode()


def member(key: str, value: bytes) -> bytes:
    """A list whose second entry has a value written as given."""
    rest = {name: known for name, known in GOOD.items() if name != key}
    return (
        b'{"revision":9,"complete":true,"members":['
        + json.dumps(GOOD | {"id": "h0"}).encode()
        + b","
        + json.dumps(rest).encode()[:-1]
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
    "two values": listed(GOOD) + b"{}",
    "bytes": b"\x00\xff\xfe",
    "a BOM": b"\xef\xbb\xbf" + listed(GOOD),
    "half": listed(GOOD)[:-9],
    "UTF-16": listed(GOOD).decode().encode("utf-16"),
    "nested lists": MANY,
    "nested objects": b'{"x":' * 200_000,
    "nested, closed": b'{"revision":9,"complete":true,"x":' + MANY + b"]" * 200_000 + b"}",
    "nested, 4 MB": b"[" * 4_190_000,
    "nested, 4 MB, closed": (b'{"revision":9,"complete":true,"members":' + b"[" * 2_000_000 + b"]" * 2_000_000 + b"}"),
    "empty lists, 4 MB": b'{"revision":9,"complete":true,"members":[' + b"[]," * 1_390_000 + b"[]]}",
    "nested in an entry": member("unknown", MANY),
    "no revision": b'{"complete":true,"members":[]}',
    "no complete": b'{"revision":9,"members":[]}',
    "revision under 0": listed(GOOD, revision=-1),
    "revision a text": listed(GOOD, revision="9"),
    "revision a fraction": listed(GOOD, revision=9.5),
    "revision over all": listed(GOOD, revision=1 << 64),
    "revision of digits": b'{"revision":' + HUGE + b',"complete":true,"members":[]}',
    "revision NaN": listed(GOOD, revision=float("nan")),
    "complete a number": listed(GOOD, complete=1),
    "members an object": listed(members={}),
    "members null": listed(members=None),
    "members numbers": listed(members=[1]),
    "an entry null": listed(members=[None]),
    "an entry a list": listed(members=[[]]),
    "no id": member("unknown", b"1").replace(b'"id": "h1", ', b""),
    "twice": listed(GOOD, GOOD),
    "id empty": member("id", b'""'),
    "id null": member("id", b"null"),
    "id a number": member("id", b"7"),
    "id too long": member("id", b'"%s"' % (b"x" * 1_025)),
    "id half a pair": member("id", b'"\\ud800"'),
    "id no UTF-8": member("id", b'"\xff"'),
    "id cut": member("id", b'"\\u12"'),
    "no address": member("unknown", b"1").replace(b'"host_port": "10.3.0.1:9000", "flavor": "reads","unk', b'"unk'),
    "locality a number": member("locality", b"1"),
    "flavor null": member("flavor", b"null"),
    "cell a text": member("cell", b'"a"'),
    "cell a fraction": member("cell", b"1.5"),
    "cell over": member("cell", HUGE),
    "phase null": member("phase", b"null"),
    "size NaN": member("size", b"NaN"),
    "size Infinity": member("size", b"Infinity"),
    "size too long": member("size", b"1e999"),
    "size under 0": member("size", b"-1"),
    "size over": member("size", b"1e300"),
    "size true": member("size", b"true"),
    "start NaN": member("up_since_ms", b"NaN"),
    "start over": member("up_since_ms", b"1e308"),
    "start under 0": member("up_since_ms", b"-1"),
    **{f"address {text!r}": member("host_port", json.dumps(text).encode()) for text in ADDRESSES},
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
        agent.says, agent.revision = BAD_LISTS[name], 9
        follower.world.sleep_until(follower.world.now_us() + 500_000)
        assert follower.lists == [(5, ["h0", "h1"])]
        agent.says = None
        follower.until(lambda: follower.hosts.revision == 9, 250_000)

    play(main)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("discovery is not heard fault=") and len(lines[0]) <= 400


@pytest.mark.parametrize("length", ["told", "chunks", "to the end"])
def test_an_oversized_list_is_refused_in_one_line_and_changes_nothing(
    length: str, capsys: pytest.CaptureFixture[str]
) -> None:
    def oversized(agent: Agent, stream: Stream, answer: bytes) -> None:
        body = listed(GOOD) + b" " * 5_000_000
        if length == "told":
            stream.write(plain(200, body))
        elif length == "chunks":
            stream.write(a.ENDLESS + http1.write_chunk(body) + http1.LAST_CHUNK)
        else:
            stream.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + body)
        stream.close()

    def main(follower: Follower, agent: Agent) -> None:
        agent.fault, agent.faulty = oversized, 1
        agent.drain()
        follower.until(lambda: follower.hosts.revision == 6, 6_000_000)
        assert follower.lists == [(5, ["h0", "h1"]), (6, ["h1"])]

    play(main)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and "too large" in lines[0]


def test_what_a_list_may_hold_is_read() -> None:
    odd = GOOD | {"id": "é😀", "host_port": "255.255.255.255:65535", "cell": -1, "phase": "Odd", "size": 0, "more": [1]}
    answer = parse_answer(listed(odd, {"id": "gone", "phase": "Gone"}, more={"x": None}))
    assert [found.id for found in answer.members] == ["é😀", "gone"]
    assert len(parse_answer(listed(GOOD, GOOD | {"phase": "Terminating"}, complete=False)).members) == 2


def told(**changes: Any) -> bytes:
    return json.dumps({"settings": SETTINGS} | changes).encode()


def changed(**changes: Any) -> bytes:
    return told(settings=SETTINGS | {key.replace("_", "-"): value for key, value in changes.items()})


def rows(**changes: Any) -> bytes:
    return changed(services=[SETTINGS["services"][0] | {key.replace("_", "-"): v for key, v in changes.items()}])


SOME: dict[str, Any] = {"revision": 1, "complete": True}
BAD_CONFIGURATIONS: dict[str, bytes] = {
    "nothing": b"",
    "null": b"null",
    "a list": b"[]",
    "bytes": b"\x00\xff",
    "half": told()[:-5],
    "two": told() * 2,
    "a BOM": b"\xef\xbb\xbf" + told(),
    "nested": b'{"settings":' + MANY,
    "nested, unknown": b'{"x":' + MANY,
    "nested, closed": b'{"settings":{"x":' + MANY + b"]" * 200_000 + b"}}",
    "oversized": told() + b" " * MAX_CONFIG_BYTES,
    "no settings": b"{}",
    "settings null": told(settings=None),
    "settings a list": told(settings=[]),
    "settings empty": told(settings={}),
    "NaN": rows(goal_time_us=float("nan")),
    "Infinity": rows(give_up_us=float("inf")),
    "a long number": told().replace(b"7500000", b"1e999"),
    "digits": told().replace(b"7500000", HUGE),
    "half a pair": told().replace(b'"ask"', b'"\\ud800"'),
    "no UTF-8": told().replace(b'"ask"', b'"\xff"'),
    **{f"listen {text!r}": told(listen=text) for text in ADDRESSES},
    **{f"discovery {text!r}": told(discovery=text) for text in ADDRESSES},
    "listen a number": told(listen=1),
    "name a number": told(name=7),
    "seed": told(seed="xyz"),
    "seed too long": told(seed="1" * 33),
    "limits a list": told(limits=[]),
    "memory 0": told(limits={"memory_mb": 0}),
    "sockets a fraction": told(limits={"sockets": 20.5}),
    "known a list": told(known=[]),
    "known half": told(known={"revision": 1}),
    "known's address": told(known=SOME | {"members": [GOOD | {"host_port": "10.3.0.1:99999"}]}),
    "known without address": told(known=SOME | {"members": [{"id": "h"}]}),
    "known twice": told(known=SOME | {"members": [GOOD, GOOD]}),
    "no classes": changed(services=[]),
    "classes null": changed(services=None),
    "a class null": changed(services=[None]),
    "a class empty": changed(services=[{}]),
    "classes an object": changed(services={}),
    "a class twice": changed(services=SETTINGS["services"] * 2),
    "class unnamed": rows(name=""),
    "class of control": rows(name="a\nb"),
    "class null": rows(name=None),
    "class a number": rows(name=3),
    "effect": rows(idempotency="FREE"),
    "effect null": rows(idempotency=None),
    "worth a text": rows(worth="1"),
    "worth under 0": rows(worth=-1),
    "worth true": rows(worth=True),
    "aim 0": rows(goal_time_us=0),
    "aim over all": rows(goal_time_us=10**400),
    "give up under aim": rows(give_up_us=1),
    "give up under 0": rows(give_up_us=-1),
    "no kinds": changed(shapes=[]),
    "a kind twice": changed(shapes=["reads", "reads"]),
    "kinds a text": changed(shapes="r"),
    "a kind null": changed(shapes=[None]),
    "a role": changed(family_info={"duty-by-kind": ["read", "neither"]}),
    "a role a number": changed(family_info={"duty-by-kind": [0, 1]}),
    "roles a text": changed(family_info={"duty-by-kind": "r"}),
    "memory a text": changed(family_info={"memory-tokens": ["9"]}),
    "memory under 0": changed(family_info={"memory-tokens": [-1]}),
    "let go 0": changed(family_info={"let-go-by-us": 0}),
    "let go over": changed(family_info={"let-go-by-us": 1e300}),
    "me under 0": changed(me=-1),
    "me over": changed(me=2),
    "me a fraction": changed(me=0.5),
    "instances 0": changed(instances=0),
    "instances over": changed(instances=10**400),
    "zone null": changed(zone=None),
    "tenants an object": changed(realms={}),
    "a tenant unnamed": changed(realms=[{}]),
    "a share under 0": changed(realms=[{"name": "t", "fraction": -1}]),
    "tries 0": changed(allowed={"most-tries": 0}),
    "tries a text": changed(allowed={"most-tries": "6"}),
    "cancel a number": changed(allowed={"cancel": 1}),
    "idle under 0": changed(allowed={"conn-idle-us": -1}),
    "grace a text": changed(obligations={"drain-grace-us": "1"}),
    "start over": changed(obligations={"start-capacity": 1.5}),
    "tick 0": changed(tick_us=0),
    "prices a text": changed(prices={"waste": "much"}),
    "a long name twice": changed(shapes=["x" * 100_000, "x" * 100_000]),
}


@pytest.mark.parametrize("name", BAD_CONFIGURATIONS)
def test_a_bad_configuration_is_one_line_in_bounded_time(name: str) -> None:
    began = time.perf_counter()
    with pytest.raises(ConfigError) as caught:
        parse_config(TOLD, BAD_CONFIGURATIONS[name])
    assert time.perf_counter() - began < 0.5
    text = str(caught.value)
    assert text.startswith("/config.json: ") and len(text.splitlines()) == 1 and 16 < len(text) < 700


def test_the_configuration_that_the_bad_ones_are_made_of_is_good() -> None:
    for good in (told(), rows(), changed(), told(listen="10.1.0.1:9000", known=SOME | {"members": [GOOD]})):
        parse_config(TOLD, good)


COLD = {"cold-us": 3_000_000, "fall-us": 500_000, "fall-multiple": 1.2}
ZEROS = dict.fromkeys(("drain-grace-us", "cold-us", "fall-multiple", "fall-us", "answer-slack-us", "ask-within-us"), 0)
ODD: dict[str, dict[str, Any]] = {
    "no obligations": {"obligations": None},
    "nothing allowed": {"allowed": None},
    "zeros": {"obligations": ZEROS},
    "a start at 1": {"obligations": COLD | {"start-capacity": 1}},
    "no ramp": {"obligations": COLD | {"start-capacity": 0.3, "cold-us": 0}},
    "hardly a start": {"obligations": COLD | {"start-capacity": 1e-9}},
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
@pytest.mark.parametrize("name", ODD)
def test_settings_of_zeros_ones_and_nothing_serve(name: str, hosts: str) -> None:
    def main() -> None:
        platform = Platform(sim)
        if hosts == "one of each":
            platform.hosts = {name: platform.hosts[name] for name in ("reads-0", "writes-2")}
        world = sim.program("node")
        node = Node(world, parse_config(TOLD, told(settings=SETTINGS | ODD[name])))
        world.spawn("start", node.start).join()
        assert [platform.ask(b"id%d" % at).status for at in range(9)] == [200] * 9

    sim = Simulation(3)
    sim.run("main", main)
    assert sim.crashes == []
