"""Many dispatchers on the virtual World: behaviour that is harmless in one of them and harmful in all together."""

from __future__ import annotations

import json
import tracemalloc
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from tests.platform_standin import ENVIRONMENT, SETTINGS, Host, Platform, read_answer, request
from yardspindle.core.hosts.host_list import ListAnswer
from yardspindle.node.app import Node
from yardspindle.node.config import parse_config
from yardspindle.runtime.scheduler import Task
from yardspindle.runtime.virtual import Simulation
from yardspindle.runtime.world import Stream

NODES = 40
HOSTS = 24


def fleet(sim: Simulation) -> tuple[Platform, list[Node]]:
    """Two readers per writer, and dispatchers that share only the host list."""
    platform, nodes = Platform(sim), []
    for at in range(HOSTS):
        flavor = "writes" if at % 3 == 0 else "reads"
        platform.add(f"{flavor}-{at}", flavor, f"10.4.0.{at}:9000")
    settings = {**SETTINGS, "instances": NODES}
    for at in range(NODES):
        variables = {**ENVIRONMENT, "ROUTER_LISTEN": f"10.1.1.{at}:9000"}
        world = sim.program(f"node {at}")
        node = Node(world, parse_config(variables, json.dumps({"seed": f"{at:x}", "settings": settings}).encode()))
        world.spawn("start", node.start).join()
        nodes.append(node)
    return platform, nodes


def ask_each(platform: Platform, ask: Callable[[int, Stream], Any]) -> list[Task]:
    """One client call to every dispatcher, all at the same time."""

    def call(at: int) -> Any:
        now = platform.clients.now_us()
        return ask(at, platform.clients.connect(f"10.1.1.{at}", 9000, now + 1_000_000))

    return [platform.clients.spawn("client", call, at) for at in range(NODES)]


def play(main: Callable[[Simulation], None]) -> None:
    sim = Simulation(7)
    sim.run("main", main, sim)
    assert sim.crashes == []


def test_a_dispatcher_of_a_thousand_starts_with_a_thousand_hosts_and_takes_hundreds_of_changes() -> None:
    def member(at: int, size: float = 1.0, phase: str = "Ready") -> dict[str, Any]:
        return {
            "id": f"s-{at}",
            "host_port": f"10.5.{at // 250}.{at % 250}:9000",
            "locality": "ab"[at % 2],
            "flavor": "writes" if at % 3 == 0 else "reads",
            "cell": at // 6,
            "size": size,
            "phase": phase,
        }

    def main(sim: Simulation) -> None:
        known = {"revision": 1, "complete": True, "members": [member(at) for at in range(1_000)]}
        config = json.dumps({"known": known, "settings": {**SETTINGS, "instances": 1_024}}).encode()
        tracemalloc.start()
        node = Node(sim.program("node"), parse_config(ENVIRONMENT, config))
        node.world.spawn("start", node.start).join()  # nothing listens on the address of discovery
        invalid = [member(at, size=0.0) for at in range(300)] + [{"id": f"odd {at}"} for at in range(200)]
        changes = [*invalid, *(member(at, phase="Gone") for at in range(300, 600))]
        assert node.host_list.apply(msgspec.convert({"revision": 2, "complete": False, "members": changes}, ListAnswer))
        node._on_list_change()
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(node.host_list) == 900 and len(node.core.lifecycle.directory.servers) >= 700
        assert peak < 16 << 20
        assert sum(not server.inactive for server in node.policy.servers.values()) == 700

    play(main)


def test_a_text_is_read_at_its_home_by_dispatchers_that_have_seen_few_requests() -> None:
    def main(sim: Simulation) -> None:
        platform, _ = fleet(sim)

        def ask(at: int, to: Stream) -> None:
            fields = b"prefix=shared,prefix_len=900,prompt_len=1000,max_out=10"
            data = request(b"r%d" % at).replace(b"prompt_len=1000,max_out=10", fields)
            to.write(data.replace(b"req-key: k", b"req-key: k%d" % at))
            assert read_answer(platform.clients, to, platform.clients.now_us()).whole

        for task in ask_each(platform, ask):
            task.join()
        read_at = Counter(name for what, name, _ in platform.calls if what == "read")
        assert read_at.total() == NODES and len(read_at) == 1

    play(main)


def test_what_is_held_is_let_go_of_in_time_though_half_of_the_hosts_fall_silent() -> None:
    """Ten unresponsive hosts in a row were asked one by one, by all dispatchers in the same order."""

    def main(sim: Simulation) -> None:
        platform, nodes = fleet(sim)
        released_us: dict[bytes, int] = {}

        def note(what: str, host: Host, number: bytes) -> None:
            if what == "free":
                released_us.setdefault(number, sim.now_us())

        platform.record_call = note  # type: ignore[method-assign]

        def hang(host: Host, to: Stream, number: bytes) -> bool:
            host.sleep(60_000_000)
            return False

        def ask(at: int, to: Stream) -> None:
            to.write(request(b"r%d" % at, b"ask", 1_000))
            read_answer(platform.clients, to, sim.now_us())

        for host in platform.hosts.values():
            host.script = hang
        tasks = ask_each(platform, ask)
        platform.sleep(500_000)
        by_number = sorted(platform.hosts.values(), key=lambda host: nodes[0].host_list.number(host.name))
        for host in by_number[: len(by_number) // 2]:
            for at in range(NODES):
                sim.network.cut(f"node {at}", host.name)
        for task in tasks:
            task.join()
        ended_us = sim.now_us()
        platform.sleep(600_000)
        assert len(released_us) == NODES and max(released_us.values()) - ended_us < 500_000

    play(main)
