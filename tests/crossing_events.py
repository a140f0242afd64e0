"""The events that cross with a step: of a client, of a host, of discovery, of the dispatcher's own end."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.crossing_draw import Ask, Crossing
from tests.crossing_hosts import CrossingHost

if TYPE_CHECKING:
    from tests.crossing_worlds import World

ORDERS = {
    "host_silent": "silence",
    "host_503": "503",
    "host_410": "410",
    "host_500": "500",
    "host_cut": "cut",
    "host_second": "second",
    "host_spoilt": "spoilt",
    "host_fin_last": "fin_last",
}
NEVER_US = 3_000_000


class Events:
    """What each event does to a world."""

    def __init__(self, world: World) -> None:
        self.world, self.platform = world, world.platform

    def fire(self, crossing: Crossing, host: CrossingHost | None) -> None:
        rng = Random(crossing.salt)
        number, event = crossing.number, crossing.event
        host = host or self.working(number) or self.any_of(rng)
        if event in ORDERS:
            self.platform.orders[number] = ORDERS[event]
        elif event.startswith("client_"):
            self.client(event, number, rng)
        elif event.startswith("host_"):
            self.host(event, number, host, rng)
        elif event == "sigterm":
            self.world.terminate()
        elif event.startswith("cut_"):
            self.platform.clients.spawn("cut", self.cut, event, host, rng)
        elif event != "idle":
            self.discovery(event, host, rng)

    def working(self, number: bytes) -> CrossingHost | None:
        """The host at which a request is out."""
        return next((host for host in self.platform.hosts.values() if number in host.open), None)

    def any_of(self, rng: Random) -> CrossingHost:
        return rng.choice(list(self.platform.hosts.values()))

    def client(self, event: str, number: bytes, rng: Random) -> None:
        clients = self.world.clients
        if event == "client_flood":
            clients.flood(number, rng.choice((300, 20_000, 70_000, 140_000, 300_000)))
            return
        ask = clients.leave(number, event == "client_rst" or (event == "client_again" and rng.random() < 0.5))
        if ask is not None and event == "client_again":
            again = Ask(number + b".again", 0, ask.cls, ask.effect, ask.deadline_ms, ask.session, True)
            self.platform.clients.spawn("again", clients.ask, again, None)

    def host(self, event: str, number: bytes, host: CrossingHost, rng: Random) -> None:
        if event in ("host_rst", "host_fin"):
            host.hang_up(number, event == "host_rst")
        elif event == "host_again":
            self.platform.clients.spawn("again", self.restart, host, rng.randrange(20_000, 1_000_000))
        elif event == "host_rests":  # it closes the connections that rest
            for stream in [stream for stream, resting in host.streams.items() if resting]:
                stream.close()
        else:
            of_role = [h for h in self.platform.hosts.values() if h.flavor == host.flavor]
            chosen = of_role if rng.random() < 0.3 else [host]
            lasting_us = NEVER_US if event == "host_never" else rng.randrange(20_000, 1_000_000)
            self.platform.clients.spawn("hanging", self.hang, chosen, lasting_us)

    def hang(self, hosts: list[CrossingHost], lasting_us: int) -> None:
        """New connections to these hosts do not come up for a while."""
        ways = [self.world.sim.network.path("node", host.name) for host in hosts]
        for way in ways:
            way.hanging += 1
        self.platform.sleep(lasting_us)
        for way in ways:
            way.hanging -= 1

    def cut(self, event: str, host: CrossingHost, rng: Random) -> None:
        """What is sent on the way to or from a host, or both, waits for some 100 ms."""
        network, began_us = self.world.sim.network, self.world.sim.now_us()
        ways = [("node", host.name)] * (event != "cut_back") + [(host.name, "node")] * (event != "cut_there")
        cut = self.platform.ledger.cuts.setdefault(host.name, [])
        cut.append((began_us, began_us + rng.randrange(50_000, 1_000_000)))
        for way in ways:
            network.cut(*way)
        self.platform.clients.sleep_until(cut[-1][1])
        for way in ways:
            network.restore(*way)

    def restart(self, host: CrossingHost, later_us: int) -> None:
        """A host's process dies with all that it held; another comes up in its place, cold."""
        if host.gone:
            return
        host.leave()
        self.platform.sleep(later_us)
        self.platform.change(host, "Gone")
        self.platform.add(host.name + ".again", host.flavor, host.address)
        self.platform.hosts[host.name + ".again"].up_since_ms = self.world.sim.now_us() // 1_000
        self.platform.joined(host.name + ".again")

    def heard_late(self, host: CrossingHost, later_us: int) -> None:
        self.platform.sleep(later_us)
        self.platform.change(host, "Gone")

    def discovery(self, event: str, host: CrossingHost, rng: Random) -> None:
        platform = self.platform
        alike = [h for h in platform.hosts.values() if h.flavor == host.flavor and h.phase == "Ready" and h is not host]
        match event:
            case "drain":
                if alike:
                    platform.change(host, "Terminating")
            case "gone":
                if alike and rng.random() < 0.5:
                    platform.change(host, "Gone")
                elif alike:  # its process dies, and discovery hears of it a little later
                    host.leave()
                    self.platform.clients.spawn("heard", self.heard_late, host, rng.randrange(500_000))
            case "watch_silent":
                platform.silence()
            case "watch_reset":
                for stream in platform.open_watches:
                    stream.abort()
                platform.open_watches.clear()
            case "agent_down":
                platform.down(rng.randrange(1_000_000, 3_000_001))
            case "list_other":
                if rng.random() < 0.5:
                    platform.older = True
                else:
                    platform.revision += rng.randrange(1, 1_000)
                platform.wake()
            case "moved":
                self.world.reload()
            case _:
                raise AssertionError(event)
