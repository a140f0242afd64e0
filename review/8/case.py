"""Case 8: discovery writes the list in pieces over 2.4 s. It is never taken, and drains are never learnt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import parties  # noqa: E402

TOLD_S = 6.0  # STANDING.md: "a change counts as told at the latest 6 s after discovery had it and could be reached"
LIST_TAKES_S = 2.4
SLOW_FROM_S, DRAIN_AFTER_S, DAY_S = 2.0, 1.0, 16.0  # from the start of the traffic
RATE = 20.0  # requests a second


async def day(platform: parties.Platform, trouble: bool) -> None:
    """Two dispatchers, five readers and six writers; one host of each kind drains."""
    await platform.add_hosts(readers=5, writers=6)
    await platform.add_dispatchers(2)
    began = platform.record.now()
    traffic = asyncio.create_task(platform.traffic(began + DAY_S, RATE))
    await asyncio.sleep(SLOW_FROM_S)
    if trouble:
        for agent in platform.agents:
            agent.list_takes_s = LIST_TAKES_S
        platform.record.add("agents", "write the list in pieces from now on", seconds=LIST_TAKES_S)
    await asyncio.sleep(DRAIN_AFTER_S)
    platform.drain("r0", "w0")
    await traffic
    late = platform.late_sends(lambda host: host.draining_since + TOLD_S if host.draining_since is not None else None)
    for seconds, host, stage, number in late:
        platform.record.breaks(f"drain: {stage} of {number} sent to {host} {seconds:.3f} s after it counts as told")


if __name__ == "__main__":
    sys.exit(parties.play(Path(__file__).resolve().parent, parties.settings(), day, 100.0))
