"""What a slow discovery agent costs and how long its drains take to be learned, on the virtual clock.

    PYTHONPATH=. python benchmarks/slow_discovery.py [HOSTS]

One dispatcher's discovery client and an agent that lists HOSTS hosts (100) and drains one after another. For each way
of answering it prints, for an agent that answers a watch with the changes and for one that answers with its whole list:
calls a second, the mean and the largest number of open connections, kilobytes of answers a second at the agent,
kilobytes in the first 12 s after a start, and the median and the longest time from a drain at the agent until the list
is in force. The next send after that leaves the host out. "never" means: not within 12 s.
"""

from __future__ import annotations

import statistics
import sys

from tests import agent_standin as a
from tests.agent_standin import Agent, Fault
from tests.test_node_discovery import FIRST, Follower
from yardspindle.runtime.virtual import Simulation

DRAINS = 8
DRAIN_INTERVAL_US = 2_370_000  # so that the drains come in different phases of the agent's calls
SETTLE_US = 7_000_000
NEVER_US = 12_000_000
POLL_US = 5_000
SECOND_US = 1_000_000
COLUMNS = (
    "answers",
    "whole list",
    "kB at a start",
    "calls a second",
    "connections (mean, most)",
    "kB a second",
    "median s",
    "longest s",
)
CASES: dict[str, Fault | None] = {
    "at once": None,
    **{f"{ms / 1_000:g} s late": a.late(ms * 1_000) for ms in (100, 180, 300, 500, 1_000, 2_000, 3_000, 4_000, 5_000)},
    **{f"in pieces over {ms / 1_000:g} s": a.in_pieces(ms * 1_000) for ms in (300, 1_000, 2_400, 4_000, 5_000)},
    "1 s late, in pieces over 2 s": a.in_pieces(2_000_000, 1_000_000),
    "silent": a.silent,
}


def start(slow: Fault | None, hosts: int, tells_changes: bool) -> float:
    """Kilobytes of the agent's answers after a start, while nothing changes."""
    sim = Simulation(1)

    def main() -> float:
        agent, follower = Agent(sim, FIRST, hosts=hosts), Follower(sim)
        agent.tells_changes, agent.slow = tells_changes, slow
        follower.discovery.start()
        follower.world.sleep_until(sim.now_us() + NEVER_US)
        return sum(stream.sent_bytes for stream in agent.streams) / 1_000

    return sim.run("main", main)


def play(slow: Fault | None, hosts: int, tells_changes: bool) -> str:
    """One case, as a row of figures."""
    sim = Simulation(1)

    def main() -> str:
        agent, follower = Agent(sim, FIRST, hosts=hosts), Follower(sim)
        agent.tells_changes = tells_changes
        follower.discovery.start()
        follower.wait_until(lambda: bool(follower.applied_lists), SECOND_US)
        agent.slow = slow
        began_us, bytes_before = sim.now_us(), sum(stream.sent_bytes for stream in agent.streams)
        drains = {f"h{at}": began_us + SETTLE_US + at * DRAIN_INTERVAL_US for at in range(DRAINS)}
        learned: dict[str, int] = {}
        open_counts = []
        while sim.now_us() < max(drains.values()) + NEVER_US:
            now_us = sim.now_us()
            for host, drained_us in drains.items():
                if now_us >= drained_us and agent.phases[host] == "Ready":
                    agent.drain(host)
            for host in drains.keys() - learned.keys() - set(follower.applied_lists[-1][1]):
                learned[host] = now_us - drains[host]
            open_counts.append(sum(stream.world is follower.world for stream in sim.network.streams))
            follower.world.sleep_until(now_us + POLL_US)
        seconds = (sim.now_us() - began_us) / SECOND_US
        calls = sum(at >= began_us for at, _ in agent.requests) / seconds
        kilobytes = (sum(stream.sent_bytes for stream in agent.streams) - bytes_before) / 1_000 / seconds
        times = [learned.get(host, NEVER_US) / SECOND_US for host in drains]
        median, longest = (
            f"{value:.2f}" if value < NEVER_US / SECOND_US else "never"
            for value in (statistics.median(times), max(times))
        )
        connections = f"{statistics.mean(open_counts):.1f} {max(open_counts)}"
        return f"{calls:.1f} | {connections} | {kilobytes:.1f} | {median} | {longest}"

    return sim.run("main", main)


def main() -> None:
    """Print the table."""
    hosts = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- " * len(COLUMNS) + "|")
    for name, slow in CASES.items():
        for tells_changes in (True, False):
            row = f"{start(slow, hosts, tells_changes):.0f} | {play(slow, hosts, tells_changes)}"
            print(f"| {name} | {'no' if tells_changes else 'yes'} | {row} |", flush=True)


if __name__ == "__main__":
    main()
