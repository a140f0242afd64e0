"""The events that strike at a step of a request: of clients, hosts, discovery, the network or the dispatcher's end."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.crossing_draw import Crossing, PlannedRequest
from tests.crossing_hosts import CrossingHost

if TYPE_CHECKING:
    from tests.crossing_worlds import CrossingWorld

ANSWER_FAULTS = {  # the faults in answers, by the name that CrossingHost knows
    "host_silent": "silence",
    "host_503": "503",
    "host_410": "410",
    "host_500": "500",
    "host_cut": "cut",
    "host_second": "second",
    "host_spoilt": "spoilt",
    "host_fin_last": "fin_last",
}
LONG_HANG_US = 3_000_000  # longer than the program waits for a connection


class Events:
    """Applies events to a world."""

    def __init__(self, world: CrossingWorld) -> None:
        self.world, self.platform = world, world.platform

    def fire(self, crossing: Crossing, host: CrossingHost | None) -> None:
        rng = Random(crossing.salt)
        request_id, event = crossing.request_id, crossing.event
        host = host or self.host_of(request_id) or self.random_host(rng)
        if event in ANSWER_FAULTS:
            self.platform.answer_faults[request_id] = ANSWER_FAULTS[event]
        elif event.startswith("client_"):
            self.fire_client(event, request_id, rng)
        elif event.startswith("host_"):
            self.fire_host(event, request_id, host, rng)
        elif event == "sigterm":
            self.world.terminate()
        elif event.startswith("cut_"):
            self.platform.clients.spawn("cut", self.cut, event, host, rng)
        elif event != "idle":  # that is a client of its own, see Plan.idle_client
            self.fire_discovery(event, host, rng)

    def host_of(self, request_id: bytes) -> CrossingHost | None:
        """The host at which a request has an attempt in flight."""
        return next((host for host in self.platform.hosts.values() if request_id in host.in_flight), None)

    def random_host(self, rng: Random) -> CrossingHost:
        return rng.choice(list(self.platform.hosts.values()))

    def fire_client(self, event: str, request_id: bytes, rng: Random) -> None:
        clients = self.world.clients
        if event == "client_flood":
            clients.flood(request_id, rng.choice((300, 20_000, 70_000, 140_000, 300_000)))
            return
        planned = clients.disconnect(
            request_id, event == "client_rst" or (event == "client_again" and rng.random() < 0.5)
        )
        if planned is not None and event == "client_again":
            again = PlannedRequest(
                request_id + b".again",
                0,
                planned.service,
                planned.idempotency,
                planned.deadline_ms,
                planned.session,
                True,
            )
            self.platform.clients.spawn("again", clients.send_request, again, None)

    def fire_host(self, event: str, request_id: bytes, host: CrossingHost, rng: Random) -> None:
        if event in ("host_rst", "host_fin"):
            host.close_attempt(request_id, event == "host_rst")
        elif event == "host_again":
            self.platform.clients.spawn("again", self.restart, host, rng.randrange(20_000, 1_000_000))
        elif event == "host_rests":  # it closes its idle connections
            for stream in [stream for stream, idle in host.streams.items() if idle]:
                stream.close()
        else:
            of_role = [h for h in self.platform.hosts.values() if h.flavor == host.flavor]
            chosen = of_role if rng.random() < 0.3 else [host]
            duration_us = LONG_HANG_US if event == "host_never" else rng.randrange(20_000, 1_000_000)
            self.platform.clients.spawn("hanging", self.hang, chosen, duration_us)

    def hang(self, hosts: list[CrossingHost], duration_us: int) -> None:
        """New connections to these hosts are not established for a while."""
        paths = [self.world.sim.network.path("node", host.name) for host in hosts]
        for path in paths:
            path.hanging += 1
        self.platform.sleep(duration_us)
        for path in paths:
            path.hanging -= 1

    def cut(self, event: str, host: CrossingHost, rng: Random) -> None:
        """Delays what is sent to a host, from it, or both, by 50 ms to 1 s."""
        network, began_us = self.world.sim.network, self.world.sim.now_us()
        paths = [("node", host.name)] * (event != "cut_back") + [(host.name, "node")] * (event != "cut_there")
        cut = self.platform.ledger.cuts.setdefault(host.name, [])
        cut.append((began_us, began_us + rng.randrange(50_000, 1_000_000)))
        for path in paths:
            network.cut(*path)
        self.platform.clients.sleep_until(cut[-1][1])
        for path in paths:
            network.restore(*path)

    def restart(self, host: CrossingHost, delay_us: int) -> None:
        """A host's process dies with all that it held; a new one starts cold at its address."""
        if host.dead:
            return
        host.die()
        self.platform.sleep(delay_us)
        self.platform.change_phase(host, "Gone")
        self.platform.add(host.name + ".again", host.flavor, host.address)
        self.platform.hosts[host.name + ".again"].up_since_ms = self.world.sim.now_us() // 1_000
        self.platform.on_host_added(host.name + ".again")

    def report_gone_later(self, host: CrossingHost, delay_us: int) -> None:
        self.platform.sleep(delay_us)
        self.platform.change_phase(host, "Gone")

    def fire_discovery(self, event: str, host: CrossingHost, rng: Random) -> None:
        platform = self.platform
        alike = [h for h in platform.hosts.values() if h.flavor == host.flavor and h.phase == "Ready" and h is not host]
        match event:
            case "drain":
                if alike:
                    platform.change_phase(host, "Terminating")
            case "gone":
                if alike and rng.random() < 0.5:
                    platform.change_phase(host, "Gone")
                elif alike:  # its process dies, and discovery lists it as gone a little later
                    host.die()
                    self.platform.clients.spawn("report gone", self.report_gone_later, host, rng.randrange(500_000))
            case "watch_silent":
                platform.silence_watches()
            case "watch_reset":
                for stream in platform.open_watches:
                    stream.abort()
                platform.open_watches.clear()
            case "agent_down":
                platform.stop_agent(rng.randrange(1_000_000, 3_000_001))
            case "list_other":  # the next list is outdated, or the revision jumps without a change
                if rng.random() < 0.5:
                    platform.stale = True
                else:
                    platform.revision += rng.randrange(1, 1_000)
                platform.wake_watches()
            case "moved":
                self.world.reload()
            case _:
                raise AssertionError(event)
