"""Random, overlapping faults over a few dozen real processes on loopback, judged by the rules: `python -m tests.soak`.

Dispatchers are the real program; model hosts are processes of `tests/soak_host.py`; clients and discovery's agents are
here. The seed draws traffic and faults. What passed at hosts and clients is put together after the end and judged by
the ledger of the crossings, one for each life of each dispatcher. The machine's own scheduling is not drawn: a seed
brings the same faults again, not the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic
from typing import Any

from tests.crossing_parties import HERE
from tests.crossings import LATE, TROUBLE
from tests.soak_judge import judge_life
from tests.soak_parties import LISTED_LATE_S, Life, Parties, Plan, SoakHost
from tests.soak_slow_start import COLD_S, Load, loads, pushed_over

KILL_MOST_S, KILL_MORE_S = 3.0, 0.7  # SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and 0.7 s more
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT)
SETTLE_S = 2.0  # after the last answer, for what is still to be let go of


class Soak(Parties):
    """One run."""

    loads: list[Load]
    tested: dict[str, float]

    # --- faults

    async def fault(self, kind: str) -> None:
        self.injected[kind] += 1
        draw, hosts = self.random, [h for h in self.hosts.values() if h.phase == "Ready"]
        seconds = draw.uniform(0.3, 2.5)
        if kind == "host dies":
            await self._host_dies(draw.choice(hosts))
        elif kind == "cold return":
            await self._cold_return(hosts)
        elif kind == "burst":
            self.say(f"burst {seconds:.2f} s")
            self.burst_until = max(self.burst_until, monotonic() + seconds)
        elif kind.startswith("host "):
            group = self._group(hosts)
            if kind == "host mute":
                group = self._silence(group, seconds)
            self.say(f"{kind} {seconds:.2f} s at {' '.join(h.name for h in group)}")
            for host in group:
                host.order(kind[5:], seconds)
        elif kind == "freeze":
            await self._freeze(self._group(hosts), seconds)
        elif kind == "drain":
            host = draw.choice(hosts)
            if sum(h.role == host.role for h in hosts) > 2:
                self.say(f"drain {host.name}")
                host.phase, self.revision = "Terminating", self.revision + 1
        elif kind == "agents silent":
            self.say(f"agents silent {seconds:.2f} s")
            self.silent_until = max(self.silent_until, monotonic() + seconds)
        else:
            await self._dispatcher_fault(kind, draw.choice(list(self.current)))

    async def _freeze(self, hosts: list[SoakHost], seconds: float) -> None:
        group = self._silence([host for host in hosts if host.process.poll() is None], seconds)
        self.say(f"freeze {seconds:.2f} s at {' '.join(h.name for h in group)}")
        for host in group:
            host.process.send_signal(signal.SIGSTOP)
        begun = monotonic()
        await asyncio.sleep(seconds)
        for host in group:
            host.process.send_signal(signal.SIGCONT)
            self.frozen.append((host.name, begun, monotonic()))
        self.say(f"thawed: {' '.join(h.name for h in group)}")

    async def _cold_return(self, hosts: list[SoakHost]) -> None:
        """One or two hosts of a role come back cold; some time later all others of it fail in one way, in a burst."""
        draw = self.random
        role, how = draw.choice(("read", "write")), draw.choice(("full", "dead", "silent", "well"))
        group = [host for host in hosts if host.role == role]
        draw.shuffle(group)
        back, others = group[: draw.choice((1, 1, 2))], group[2:]
        wait_s, seconds = draw.uniform(0.0, COLD_S - 1.0), draw.uniform(0.8, 2.5)
        self.say(f"cold return of {' '.join(h.name for h in back)}, {wait_s:.2f} s later the others are {how}")
        self.injected[f"cold return, the others {how}"] += 1
        await asyncio.gather(*(self._host_dies(host) for host in back))
        await asyncio.sleep(wait_s)
        self.burst_until = max(self.burst_until, monotonic() + seconds)
        if how == "full":
            for host in others:
                self.hosts[host.name].order("decline", seconds)
        elif how == "dead":
            await asyncio.gather(*(self._host_dies(self.hosts[h.name], down_s=seconds) for h in others))
        elif how == "silent":
            await self._freeze([self.hosts[host.name] for host in others], seconds)

    def _group(self, hosts: list[SoakHost]) -> list[SoakHost]:
        """One host, some, or all of one role."""
        how, role = self.random.choice(("one", "some", "role")), self.random.choice(("read", "write"))
        if how == "one":
            return [self.random.choice(hosts)]
        if how == "some":
            return self.random.sample(hosts, max(len(hosts) // 3, 1))
        return [host for host in hosts if host.role == role]

    def _silence(self, group: list[SoakHost], seconds: float) -> list[SoakHost]:
        """Those of a group that may fall silent now: a third of all hosts run, or nobody could be told anything."""
        now = monotonic()
        silent = {name for name, until in self.silent.items() if until > now}
        room = len(self.hosts) * 2 // 3 - len(silent)
        chosen = [host for host in group if host.name in silent] + [h for h in group if h.name not in silent][:room]
        for host in chosen:
            self.silent[host.name] = max(self.silent.get(host.name, 0.0), now + seconds)
        return chosen

    async def _host_dies(self, host: SoakHost, down_s: float = 0.0) -> None:
        """It loses what it held, and comes back cold; the list tells of that at once or some time later."""
        if host.name in self.down:
            return  # another fault has it die just now
        self.down.add(host.name)
        self.say(f"{host.name} dies")
        host.process.kill()
        host.process.wait()
        for file in (self.folder / "states").iterdir():
            if file.exists() and file.read_text() == host.name:
                file.unlink(missing_ok=True)
        with open(self.folder / "deaths.jsonl", "a") as file_of_deaths:
            file_of_deaths.write(json.dumps({"host": host.name, "at": monotonic()}) + "\n")
        await asyncio.sleep(down_s or self.random.uniform(0.2, 1.0))
        self.start_host(host.name, host.role, host.port, cold=True)
        self.down.discard(host.name)
        back, late_s = self.hosts[host.name], self.random.choice((0.0, self.random.uniform(0.0, LISTED_LATE_S)))
        back.phase, back.listed_before_ms, back.listed_from = host.phase, host.up_since_ms, monotonic() + late_s
        self.say(f"{host.name} is back, listed {late_s:.2f} s later")
        await asyncio.sleep(late_s)
        self.revision += 1

    async def _dispatcher_fault(self, kind: str, name: str) -> None:
        life = self.current[name]
        if life.killed is not None or life.process.poll() is not None or life.ledger.term is not None:
            return
        if b"ready" not in life.log.read_bytes():
            return  # told to end before it can hear that, it ends at once: nothing was taken
        self.say(f"{kind} {name}")
        if kind == "dispatcher held up":
            await self._hold_up(life)
            return
        if name in self.ending:
            return  # another fault ends it, and starts it again
        self.ending.add(name)
        try:
            await self._end_dispatcher(kind, name, life)
        finally:
            self.ending.discard(name)

    async def _end_dispatcher(self, kind: str, name: str, life: Life) -> None:
        if kind == "signals":
            for each in self.random.choices(SIGNALS, k=self.random.randint(2, 5)):
                await self._signal(life, each)
                await asyncio.sleep(self.random.choice((0.0, self.random.uniform(0.0, 0.2))))
            if life.ledger.term is None:
                return
        if kind == "dispatcher ends":
            await self._signal(life, signal.SIGTERM)
        if life.ledger.term is not None:
            until = life.ledger.term + min(self.deadline_ms / 1_000, KILL_MOST_S) + KILL_MORE_S
            while life.process.poll() is None and monotonic() < until:
                await asyncio.sleep(0.01)
        if life.process.poll() is None:
            life.killed = monotonic()
            life.process.kill()
        life.process.wait()
        life.ended = monotonic()
        self.start_dispatcher(name)
        await self.ready(name)

    async def _hold_up(self, life: Life) -> None:
        life.process.send_signal(signal.SIGSTOP)
        begun = monotonic()
        await asyncio.sleep(self.random.uniform(0.02, 0.14))
        life.process.send_signal(signal.SIGCONT)
        life.ledger.away.append((begun, monotonic()))

    async def _signal(self, life: Life, which: signal.Signals) -> None:
        self.injected[which.name] += 1
        if life.process.poll() is not None:
            return
        if which is signal.SIGSTOP:
            await self._hold_up(life)
            return
        if which is signal.SIGTERM and life.ledger.term is None:
            life.ledger.term = monotonic()
        life.process.send_signal(which)

    # --- the run

    async def run(self) -> list[str]:
        names = [f"n{at}" for at in range(self.plan.dispatchers)]
        for at in range(self.plan.readers):
            self.start_host(f"reader-{at}", "read")
        for at in range(self.plan.writers):
            self.start_host(f"writer-{at}", "write")
        for name in names:
            await self.agent(name)
            spare = await asyncio.start_server(lambda reader, writer: None, HERE, 0)
            self.ports[name] = spare.sockets[0].getsockname()[1]
            spare.close()
            await spare.wait_closed()
            self.start_dispatcher(name)
        for name in names:
            await self.ready(name)
        if self.crowded:
            await asyncio.gather(*(self.crowd(name) for name in names))
        self.began = monotonic()
        clients = [
            asyncio.create_task(self.client(name, number)) for name in names for number in range(self.plan.clients)
        ]
        faults = [asyncio.create_task(self._at(at, kind)) for at, kind in self._draw()]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*faults)
        self.ended = True
        await asyncio.gather(*clients)
        await asyncio.sleep(SETTLE_S)
        await self.close_agents()
        return self.judge()

    def _draw(self) -> list[tuple[float, str]]:
        kinds = (
            ["freeze"] * 5
            + ["host mute"] * 2
            + [
                "host reset",
                "host lose",
                "host slow",
                "host decline",
                "host error",
                "host dies",
                "drain",
                "agents silent",
                "dispatcher held up",
                "dispatcher ends",
                "dispatcher dies",
                "signals",
                "burst",
            ]
        )
        drawn = [self.random.choice(kinds) for _ in range(self.plan.faults)] + ["cold return"] * self.plan.cold_returns
        return [(self.random.uniform(0.0, self.plan.seconds), kind) for kind in drawn]

    async def _at(self, seconds: float, kind: str) -> None:
        await asyncio.sleep(seconds)
        await self.fault(kind)

    def judge(self) -> list[str]:
        rows = [
            json.loads(line)
            for file in self.folder.glob("*er-*.jsonl")
            for line in file.read_text().splitlines()
            if line.endswith("}")
        ]
        deaths = self.folder / "deaths.jsonl"
        died = [json.loads(line) for line in deaths.read_text().splitlines()] if deaths.exists() else []
        self.loads = loads(rows, self.cold_starts)
        found = pushed_over(self.loads)
        self._count_tests(rows)
        for life in self.lives:
            found += [f"{life.log.name}: {text}" for text in judge_life(life, rows, died, self.frozen)]
            found += [
                f"{life.log.name}: {line}"
                for line in life.log.read_text().splitlines()
                if line.startswith(TROUBLE) and not (line.startswith(LATE) and life.ledger.away)
            ]
            if life.killed is None and life.process.poll() not in (None, 0):
                found.append(f"{life.log.name}: ended with {life.process.returncode}")
        return found

    def _count_tests(self, rows: list[dict[str, Any]]) -> None:
        """How often each rule was put to the test."""
        kinds = Counter(row["what"] for row in rows)
        requests = [r for life in self.lives for r in life.ledger.requests]
        self.tested = {
            "final answers": len(requests),
            "orders": sum(r.cls == "order" for r in requests),
            "attempts without an answer": sum(row["what"] == "over" and not row["how"] for row in rows),
            "drains told": sum(len(life.told) for life in self.lives),
            "cold hosts": len(self.loads),
            "fullest of them": round(max((load.ratio for load in self.loads), default=0.0), 2),
            "releases": kinds["freed"],
            "places": kinds["placed"],
            "shut unread": self.shut_unread,
        }

    def counts(self) -> dict[str, int]:
        """Of the answers that clients got, by status."""
        counts: dict[str, int] = {}
        for life in self.lives:
            for r in life.ledger.requests:
                key = str(r.answers[0][1].status) if r.answers else "left" if r.left else "none"
                counts[key] = counts.get(key, 0) + 1
        return counts


def play(seed: int, plan: Plan, folder: Path) -> tuple[list[str], Soak]:
    """One run: what was broken."""
    soak = Soak(seed, plan, folder)
    try:
        return asyncio.run(soak.run()), soak
    finally:
        soak.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--keep", type=Path, help="a folder for the records of runs with breaks")
    for name, value in vars(Plan()).items():
        parser.add_argument(f"--{name}", type=type(value), default=value)
    given = vars(parser.parse_args())
    plan = Plan(**{name: given[name] for name in vars(Plan())})
    broken, injected, tested = 0, Counter[str](), Counter[str]()
    for seed in range(given["first"], given["first"] + given["count"]):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=given["keep"]))
        found, soak = play(seed, plan, folder)
        broken += bool(found)
        injected.update(soak.injected)
        tested.update({rule: count for rule, count in soak.tested.items() if rule != "fullest of them"})
        print(
            f"seed {seed}: {len(found)} breaks, answers {soak.counts()}, {soak.family}, "
            f"deadline {soak.deadline_ms} ms, retries {soak.retries}, crowd {soak.crowded}, {soak.tested}",
            flush=True,
        )
        if found:
            (folder / "breaks").write_text("\n".join([*found, "", f"second 0 is {soak.began:.3f}", *soak.story]))
            print("\n".join(f"  {text}" for text in found[:20]), *(f"  {row}" for row in soak.story), sep="\n")
    print(f"{broken} of {given['count']} runs with breaks; injected {dict(injected)}; put to the test {dict(tested)}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
