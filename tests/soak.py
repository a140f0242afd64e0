"""Soak test: random, overlapping faults over a few dozen real processes on loopback. Run: `python -m tests.soak`.

Dispatchers are the real program and model hosts are processes of `tests/soak_host.py`; clients and discovery agents run
in this process. The seed determines traffic and faults. After the run, the records of hosts and clients are merged and
checked with the ledger of `tests/crossing_ledger.py`, one ledger per dispatcher process. Operating-system scheduling is
not controlled, so a seed reproduces the faults but not the exact run.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic
from typing import Any

from tests.crossing_parties import LOOPBACK_ADDRESS
from tests.crossings import FAILURE_LOG_LINES, LATE_ANSWER_LOG_LINE
from tests.ports import port_of, reserve_port
from tests.soak_discovery import told_at_latest
from tests.soak_judge import judge_run
from tests.soak_parties import MAX_LISTING_DELAY_S, ROOT, DispatcherRun, Plan, SoakCluster, SoakHost
from tests.soak_slow_start import COLD_S, WindowLoad, fullest_windows, overloaded_hosts

# SIGKILL follows SIGTERM after the longest request deadline (at most 3 s) plus 0.7 s.
MAX_KILL_DELAY_S, KILL_MARGIN_S = 3.0, 0.7
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT)
FAULT_KINDS = (
    *("freeze",) * 5,
    *("host mute",) * 2,
    *("host reset", "host lose", "host slow", "host decline", "host error", "host dies", "drain", "agents silent"),
    *("dispatcher held up", "dispatcher ends", "dispatcher dies", "signals", "burst"),
)
FIGURES = ("fullest of them", "peak MiB")  # in the coverage, but no counts
RELEASE_WAIT_S = 2.0  # time after the last answer for outstanding releases


class Soak(SoakCluster):
    """One soak run: injects faults, drives the run and judges it."""

    loads: list[WindowLoad]
    coverage: dict[str, float]
    unreported_drains = 0  # drains that count as told to a dispatcher to which no answer told them

    # --- faults

    async def inject_fault(self, kind: str) -> None:
        self.injected[kind] += 1
        rng, hosts = self.random, [h for h in self.hosts.values() if h.phase == "Ready"]
        seconds = rng.uniform(0.3, 2.5)
        if kind == "host dies":
            await self._kill_host(rng.choice(hosts))
        elif kind == "cold return":
            await self._cold_return(hosts)
        elif kind == "burst":
            self.log_event(f"burst {seconds:.2f} s")
            self.burst_until = max(self.burst_until, monotonic() + seconds)
        elif kind.startswith("host "):
            group = self._draw_group(hosts)
            if kind == "host mute":
                group = self._mark_silent(group, seconds)
            self.log_event(f"{kind} {seconds:.2f} s at {' '.join(h.name for h in group)}")
            for host in group:
                host.inject_fault(kind[5:], seconds)
        elif kind == "freeze":
            await self._freeze(self._draw_group(hosts), seconds)
        elif kind == "drain":
            self._drain(rng.choice(hosts))
        elif kind == "agents silent":
            self.log_event(f"agents silent {seconds:.2f} s")
            self.silent_until = max(self.silent_until, monotonic() + seconds)
            self.slow_discovery.silences.append((monotonic(), self.silent_until))
        else:
            await self._dispatcher_fault(kind, rng.choice(list(self.current)))

    def _drain(self, host: SoakHost) -> None:
        """Let a host drain, if enough of its role stay."""
        if sum(other.role == host.role for other in self.hosts.values() if other.phase == "Ready") > 2:
            self.log_event(f"drain {host.name}")
            host.phase, host.drained_at, self.revision = "Terminating", monotonic(), self.revision + 1

    def _drain_at_slow_agents(self, choice: int) -> None:
        self.injected["agents slow"] += 1
        ready = [host for host in self.hosts.values() if host.phase == "Ready"]
        self._drain(ready[choice % len(ready)])

    def _disturb_streams(self, kind: str, choice: int, seconds: float) -> None:
        """Let one writer spoil or slow down the streams that it begins."""
        writers = [host for host in self.hosts.values() if host.role == "write"]
        host = writers[choice % len(writers)]
        self.injected[f"host {kind}"] += 1
        self.log_event(f"host {kind} {seconds:.2f} s at {host.name}")
        host.inject_fault(kind, seconds)

    async def _freeze(self, hosts: list[SoakHost], seconds: float) -> None:
        group = self._mark_silent([host for host in hosts if host.process.poll() is None], seconds)
        self.log_event(f"freeze {seconds:.2f} s at {' '.join(h.name for h in group)}")
        for host in group:
            host.process.send_signal(signal.SIGSTOP)
        begun = monotonic()
        await asyncio.sleep(seconds)
        for host in group:
            host.process.send_signal(signal.SIGCONT)
            self.frozen.append((host.name, begun, monotonic()))
        self.log_event(f"thawed: {' '.join(h.name for h in group)}")

    async def _cold_return(self, hosts: list[SoakHost]) -> None:
        """Restart one or two hosts of a role cold, and later cause a burst of requests.

        During it the role's other hosts, but for the first two drawn, all decline, are dead or are silent, or work
        ("well").
        """
        rng = self.random
        role, outage = rng.choice(("read", "write")), rng.choice(("full", "dead", "silent", "well"))
        group = [host for host in hosts if host.role == role]
        rng.shuffle(group)
        back, others = group[: rng.choice((1, 1, 2))], group[2:]
        wait_s, seconds = rng.uniform(0.0, COLD_S - 1.0), rng.uniform(0.8, 2.5)
        self.log_event(f"cold return of {' '.join(h.name for h in back)}, {wait_s:.2f} s later the others are {outage}")
        self.injected[f"cold return, the others {outage}"] += 1
        await asyncio.gather(*(self._kill_host(host) for host in back))
        await asyncio.sleep(wait_s)
        self.burst_until = max(self.burst_until, monotonic() + seconds)
        if outage == "full":
            for host in others:
                self.hosts[host.name].inject_fault("decline", seconds)
        elif outage == "dead":
            await asyncio.gather(*(self._kill_host(self.hosts[h.name], down_s=seconds) for h in others))
        elif outage == "silent":
            await self._freeze([self.hosts[host.name] for host in others], seconds)

    def _draw_group(self, hosts: list[SoakHost]) -> list[SoakHost]:
        """Draw one host, a third of the hosts, or all hosts of one role."""
        how, role = self.random.choice(("one", "some", "role")), self.random.choice(("read", "write"))
        if how == "one":
            return [self.random.choice(hosts)]
        if how == "some":
            return self.random.sample(hosts, max(len(hosts) // 3, 1))
        return [host for host in hosts if host.role == role]

    def _mark_silent(self, group: list[SoakHost], seconds: float) -> list[SoakHost]:
        """Mark hosts of a group as silent and return them; at least a third of all hosts stays responsive.

        Otherwise dispatchers could not reach any host.
        """
        now = monotonic()
        silent = {name for name, until in self.silent.items() if until > now}
        capacity = len(self.hosts) * 2 // 3 - len(silent)
        chosen = [host for host in group if host.name in silent] + [h for h in group if h.name not in silent][:capacity]
        for host in chosen:
            self.silent[host.name] = max(self.silent.get(host.name, 0.0), now + seconds)
        return chosen

    async def _kill_host(self, host: SoakHost, down_s: float = 0.0) -> None:
        """Kill a host with all that it holds and restart it cold; the list shows the restart at once or later."""
        if host.name in self.dead_hosts:
            return  # another fault is already restarting it
        self.dead_hosts.add(host.name)
        self.log_event(f"{host.name} dies")
        earliest = monotonic()  # it may have died at any time from here on
        host.process.kill()
        host.process.wait()
        for file in (self.folder / "states").iterdir():
            with contextlib.suppress(FileNotFoundError):  # taken or released by another host meanwhile
                if file.read_text() == host.name:
                    file.unlink()
        with open(self.folder / "deaths.jsonl", "a") as file_of_deaths:
            file_of_deaths.write(json.dumps({"host": host.name, "earliest": earliest, "at": monotonic()}) + "\n")
        await asyncio.sleep(down_s or self.random.uniform(0.2, 1.0))
        await self.start_host(host.name, host.role, host.port, cold=True)
        self.dead_hosts.discard(host.name)
        back, late_s = self.hosts[host.name], self.random.choice((0.0, self.random.uniform(0.0, MAX_LISTING_DELAY_S)))
        back.phase, back.drained_at = host.phase, host.drained_at
        back.listed_before_ms, back.listed_from = host.up_since_ms, monotonic() + late_s
        self.log_event(f"{host.name} is back, listed {late_s:.2f} s later")
        await asyncio.sleep(late_s)
        self.revision += 1

    async def _dispatcher_fault(self, kind: str, name: str) -> None:
        run = self.current[name]
        if run.killed is not None or run.process.poll() is not None or run.ledger.sigterm_at is not None:
            return
        if b"ready" not in run.log.read_bytes():
            return  # before its signal handlers are installed SIGTERM ends it at once; it has accepted nothing
        self.log_event(f"{kind} {name}")
        if kind == "dispatcher held up":
            await self._suspend(run)
            return
        if name in self.ending_dispatchers:
            return  # another fault is already restarting it
        self.ending_dispatchers.add(name)
        try:
            await self._end_dispatcher(kind, name, run)
        finally:
            self.ending_dispatchers.discard(name)

    async def _end_dispatcher(self, kind: str, name: str, run: DispatcherRun) -> None:
        if kind == "signals":
            for each in self.random.choices(SIGNALS, k=self.random.randint(2, 5)):
                await self._signal(run, each)
                await asyncio.sleep(self.random.choice((0.0, self.random.uniform(0.0, 0.2))))
            if run.ledger.sigterm_at is None:
                return
        if kind == "dispatcher ends":
            await self._signal(run, signal.SIGTERM)
        if run.ledger.sigterm_at is not None:
            until = run.ledger.sigterm_at + min(self.deadline_ms / 1_000, MAX_KILL_DELAY_S) + KILL_MARGIN_S
            while run.process.poll() is None and monotonic() < until:
                await asyncio.sleep(0.01)
        if run.process.poll() is None:
            run.killed = monotonic()
            run.process.kill()
        run.process.wait()
        run.ended = monotonic()
        self.start_dispatcher(name)
        await self.wait_until_ready(name)

    async def _suspend(self, run: DispatcherRun) -> None:
        run.process.send_signal(signal.SIGSTOP)
        begun = monotonic()
        await asyncio.sleep(self.random.uniform(0.02, 0.14))
        run.process.send_signal(signal.SIGCONT)
        run.ledger.pauses.append((begun, monotonic()))

    async def _signal(self, run: DispatcherRun, number: signal.Signals) -> None:
        self.injected[number.name] += 1
        if run.process.poll() is not None:
            return
        if number is signal.SIGSTOP:
            await self._suspend(run)
            return
        if number is signal.SIGTERM and run.ledger.sigterm_at is None:
            run.ledger.sigterm_at = monotonic()
        run.process.send_signal(number)

    # --- the run

    async def run(self) -> list[str]:
        names = [f"n{at}" for at in range(self.plan.dispatchers)]
        for at in range(self.plan.readers):
            await self.start_host(f"reader-{at}", "read")
        for at in range(self.plan.writers):
            await self.start_host(f"writer-{at}", "write")
        for name in names:
            await self.start_agent(name)
            self.reserved.append(reserve_port(LOOPBACK_ADDRESS))
            self.ports[name] = port_of(self.reserved[-1])
            self.start_dispatcher(name)
        for name in names:
            await self.wait_until_ready(name)
        if self.has_idle_clients:
            await asyncio.gather(*(self.open_idle_connections(name) for name in names))
        self.began = monotonic()
        clients = [
            asyncio.create_task(self.run_client(name, number)) for name in names for number in range(self.plan.clients)
        ]
        faults = [asyncio.create_task(self._inject_at(at, kind)) for at, kind in self._draw_faults()]
        faults.append(asyncio.create_task(self.crowds.run(lambda: self.ports, self.log_event)))
        faults.append(asyncio.create_task(self.stream_faults.run(self._disturb_streams)))
        faults.append(asyncio.create_task(self.slow_discovery.run(self._drain_at_slow_agents, self.log_event)))
        sampling = asyncio.create_task(
            self.memory.watch(lambda: [run.process.pid for run in self.current.values() if run.process.poll() is None])
        )
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*faults)
        self.ended = True
        await asyncio.gather(*clients)
        await asyncio.sleep(RELEASE_WAIT_S)
        sampling.cancel()
        await self.close_agents()
        return self.judge()

    def _draw_faults(self) -> list[tuple[float, str]]:
        drawn = [self.random.choice(FAULT_KINDS) for _ in range(self.plan.faults)]
        drawn += ["cold return"] * self.plan.cold_returns
        return [(self.random.uniform(0.0, self.plan.seconds), kind) for kind in drawn]

    async def _inject_at(self, seconds: float, kind: str) -> None:
        await asyncio.sleep(seconds)
        await self.inject_fault(kind)

    def judge(self) -> list[str]:
        rows = [
            json.loads(line)
            for file in self.folder.glob("*er-*.jsonl")
            for line in file.read_text().splitlines()
            if line.endswith("}")
        ]
        deaths = self.folder / "deaths.jsonl"
        died = [json.loads(line) for line in deaths.read_text().splitlines()] if deaths.exists() else []
        self.loads = fullest_windows(rows, self.cold_starts)
        found = overloaded_hosts(self.loads) + self.memory.over(self.crowds.memory_mb)
        for run in self.runs:
            self._count_unreported_drains(run)
        self._count_coverage(rows)
        for run in self.runs:
            found += [f"{run.log.name}: {text}" for text in judge_run(run, rows, died, self.frozen)]
            found += [
                f"{run.log.name}: {line}"
                for line in run.log.read_text().splitlines()
                if line.startswith(FAILURE_LOG_LINES)
                and not (line.startswith(LATE_ANSWER_LOG_LINE) and run.ledger.pauses)
            ]
            if run.killed is None and run.process.poll() not in (None, 0):
                found.append(f"{run.log.name}: ended with {run.process.returncode}")
        return found

    def _count_unreported_drains(self, run: DispatcherRun) -> None:
        """A drain counts as told after a time, whether or not it was reported to the dispatcher."""
        for host in self.hosts.values():
            if host.phase != "Ready":
                latest = told_at_latest(max(host.drained_at, run.started), self.slow_discovery.silences)
                if latest < run.drains_reported.get(host.name, math.inf):
                    run.drains_reported[host.name] = latest
                    self.unreported_drains += 1

    def _count_coverage(self, rows: list[dict[str, Any]]) -> None:
        """Count how often each rule applied in the run."""
        kinds = Counter(row["what"] for row in rows)
        requests = [request for run in self.runs for request in run.ledger.requests]
        # Drains told: reported to a dispatcher; fullest of them: the highest load of a cold host, as a share of what is
        # allowed; shut unread: new connections that a dispatcher closed near its socket limit without reading them.
        self.coverage = {
            "final answers": len(requests),
            "orders": sum(request.cls == "order" for request in requests),
            "attempts without an answer": sum(row["what"] == "over" and not row["how"] for row in rows),
            "drains told": sum(len(run.drains_reported) for run in self.runs),
            "drains that count though unreported": self.unreported_drains,
            "answers of slow agents": self.slow_discovery.late_answers,
            "cold hosts": len(self.loads),
            "fullest of them": round(max((load.ratio for load in self.loads), default=0.0), 2),
            "releases": kinds["freed"],
            "places": kinds["placed"],
            "spoilt streams": kinds["spoilt"],
            "slow streams": kinds["slow stream"],
            "shut unread": self.closed_unread,
            "crowds": self.plan.crowds,
            f"peak MiB of {self.crowds.memory_mb}": round(max(self.memory.peaks.values(), default=0.0), 1),
        }

    def counts(self) -> dict[str, int]:
        """Count the clients' requests by answer status, "left" (client disconnected) or "none"."""
        counts: dict[str, int] = {}
        for run in self.runs:
            for request in run.ledger.requests:
                key = str(request.answers[0][1].status) if request.answers else "left" if request.left_at else "none"
                counts[key] = counts.get(key, 0) + 1
        return counts


def play(seed: int, plan: Plan, folder: Path, package: Path = ROOT) -> tuple[list[str], Soak]:
    """Run one soak test; returns the rule violations and the finished run."""
    soak = Soak(seed, plan, folder, package)
    try:
        return asyncio.run(soak.run()), soak
    finally:
        soak.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--keep", type=Path, help="folder in which the records of each run are written")
    for name, value in vars(Plan()).items():
        parser.add_argument(f"--{name}", type=type(value), default=value)
    arguments = vars(parser.parse_args())
    plan = Plan(**{name: arguments[name] for name in vars(Plan())})
    broken, injected, coverage = 0, Counter[str](), Counter[str]()
    for seed in range(arguments["first"], arguments["first"] + arguments["count"]):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments["keep"]))
        found, soak = play(seed, plan, folder)
        broken += bool(found)
        injected.update(soak.injected)
        coverage.update({rule: count for rule, count in soak.coverage.items() if not rule.startswith(FIGURES)})
        print(  # crowd: whether the run had many idle clients
            f"seed {seed}: {len(found)} breaks, answers {soak.counts()}, {soak.family}, "
            f"deadline {soak.deadline_ms} ms, retries {soak.retries}, crowd {soak.has_idle_clients}, {soak.coverage}",
            flush=True,
        )
        if found:
            (folder / "breaks").write_text("\n".join([*found, "", f"second 0 is {soak.began:.3f}", *soak.event_log]))
            print("\n".join(f"  {text}" for text in found[:20]), *(f"  {row}" for row in soak.event_log), sep="\n")
    print(f"{broken} of {arguments['count']} runs with breaks; injected {dict(injected)}; covered {dict(coverage)}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
