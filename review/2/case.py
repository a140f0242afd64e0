"""A new configuration moves discovery while idle clients fill the dispatcher's descriptors; a model host drains."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from time import monotonic

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from bench import DRAIN_GRACE_S, SLACK_S, TROUBLE, Agent, Bench, Client, free_port, play  # noqa: E402

SOCKETS = 256  # the least that the pages name
BUSY_CLIENTS = 80  # "for requests, clients hold at most a third of the descriptors"
IDLE_CLIENTS = 43
READERS, WRITERS = 13, 18
WARM_UP_S, AFTER_S = 8.0, 14.0
TOLD_S = 4.0  # after SIGHUP
OLD_ADDRESS_S = 1.5  # then the old agent closes the open connections
DRAINING = "w3"


async def idle_client(port: int) -> None:
    """Ask for the health once, then rest until the dispatcher ends the connection, and come again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n")
            while await reader.read(4096):
                pass
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.2)


async def run(bench: Bench) -> bool:
    """Play; returns whether drains were kept."""
    for number in range(READERS):
        bench.add_host(f"r{number}", "read", work_s=0.1)
    for number in range(WRITERS):
        bench.add_host(f"w{number}", "write", work_s=0.1, events=8, gap_s=0.1)
    old, new = Agent(bench.members), Agent(bench.members)
    await old.start()
    await new.start()
    port = free_port()
    process = bench.start_dispatcher(port, old.port, bench.write_config(port, old.port, SOCKETS), SOCKETS)
    await bench.wait_up(port)
    until = monotonic() + WARM_UP_S + AFTER_S
    busy = [asyncio.create_task(bench.ask_until(Client(port), until)) for _ in range(BUSY_CLIENTS)]
    idle = [asyncio.create_task(idle_client(port)) for _ in range(IDLE_CLIENTS if TROUBLE else 0)]
    await asyncio.sleep(WARM_UP_S)

    before = bench.members()
    old.members = lambda: before
    bench.hosts[DRAINING].phase = "Terminating"
    new.revision = old.revision + 1  # the agent at the new address tells it from now on
    bench.write_config(port, new.port, SOCKETS)
    bench.say(f"{len(os.listdir(f'/proc/{process.pid}/fd'))} of {SOCKETS} descriptors open; SIGHUP")
    signalled = monotonic()
    process.send_signal(signal.SIGHUP)
    old.stop_listening()
    await asyncio.sleep(OLD_ADDRESS_S)
    old.close_connections()
    await asyncio.gather(*busy)
    for task in idle:
        task.cancel()
    await asyncio.gather(*idle, return_exceptions=True)

    limit = signalled + TOLD_S + DRAIN_GRACE_S + SLACK_S
    late = [
        row for row in bench.steps() if row["host"] == DRAINING and row["what"] == "attempt" and row["first"] > limit
    ]
    for row in late:
        bench.say(
            f"BROKEN: {row['id']} sent to {DRAINING}, {row['first'] - signalled:.2f} s after SIGHUP", row["first"]
        )
    for line in bench.log():
        if "configuration" in line:
            bench.say(f"the dispatcher says: {line}")
    bench.say(f"{len(new.calls)} calls at the new agent; {len(late)} attempts at {DRAINING} too late")
    if process.poll() is not None:
        bench.say("BROKEN: the dispatcher has ended")
        return False
    return not late


if __name__ == "__main__":
    sys.exit(play(HERE, run))
