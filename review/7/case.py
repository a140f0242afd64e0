"""Case 7: a writer is cut off for 2 s; connections that were open before stay silent 1 s longer than new ones."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import parties  # noqa: E402

CUT_FROM_S, CUT_S, OLD_SILENT_S, DAY_S = 3.0, 2.0, 1.0, 12.0  # from the start of the traffic
RATE = 20.0  # requests a second


async def day(platform: parties.Platform, trouble: bool) -> None:
    """Two dispatchers, five readers and six writers; one writer is cut off."""
    await platform.add_hosts(readers=5, writers=6)
    await platform.add_dispatchers(2)
    watch = asyncio.create_task(platform.watch_holds())
    began = platform.record.now()
    traffic = asyncio.create_task(platform.traffic(began + DAY_S, RATE))
    await asyncio.sleep(CUT_FROM_S)
    if trouble:
        platform.hosts["w0"].hang()
        await asyncio.sleep(CUT_S)
        platform.hosts["w0"].resume(OLD_SILENT_S)
    await traffic
    await asyncio.sleep(2.0)
    watch.cancel()
    platform.still_held()


if __name__ == "__main__":
    sys.exit(parties.play(Path(__file__).resolve().parent, parties.settings(), day, 100.0))
