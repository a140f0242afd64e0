"""Time to first token by source of the prefix index, through the router, at 10 and 40 readers.

Modes: the index is fed by cache events (events), by estimates (guess), or there is none (off).

Run: python benchmarks/first_token.py [--jobs N]. Edges, planner, link, engines and clients are the real programs on the
virtual World, so times are virtual, reproducible and independent of the machine. Three kinds of traffic: steady shared
prefixes with sessions (steady); unseen prompts during the middle third (flood); all caches cleared half-way (forget).
Latency counts from the intended send time. Modes are compared request by request on the same traffic.
"""

from __future__ import annotations

import multiprocessing
import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog

sys.path.insert(0, str(Path(__file__).parent.parent))

from yardspindle.core.config import parse
from yardspindle.edge.app import Edge
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.lab.fleet import EngineInstance, server_list, to_toml
from yardspindle.lab.load import LoadReport, Traffic, compare_runs, run_load
from yardspindle.planner.app import Planner
from yardspindle.runtime.virtual import Simulation

EDGES = 2
RATE_PER_READER = 6.0  # slightly over half utilisation without any cache
SECONDS = {10: 12.0, 40: 4.0}
KINDS = ("steady", "flood", "forget")
MODES = ("events", "guess", "off")
HOST = "127.0.0.1"


def traffic(readers: int, seed: int, **overrides: Any) -> Traffic:
    return Traffic(
        **{
            "seed": seed,
            "seconds": SECONDS[readers],
            "rate_per_s": RATE_PER_READER * readers,
            "openings": 200,  # shared prefixes
            "answer_tokens": 4,
            **overrides,
        }
    )


def run_case(job: tuple[str, int, str]) -> tuple[tuple[str, int, str], dict[int, int], dict[str, int], float]:
    """Run one case; returns it with times to first token by request, outcomes and the share of cached prompt tokens."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    kind, readers, mode = job
    sim = Simulation(1)
    instances: list[EngineInstance] = []
    engines: list[StandInEngine] = []
    counts = {"tokens": 0, "kept": 0}

    def count_tokens(_path: str, data: bytes) -> None:
        line = msgspec.json.decode(data)
        if line["ev"] == "hold state":
            counts["tokens"] += line["tokens"]
            counts["kept"] += line["kept"]

    sim.on_append = count_tokens

    def program() -> LoadReport:
        for number in range(readers + readers // 2):
            role, name = ("read", f"r{number}") if number < readers else ("write", f"w{number}")
            settings = msgspec.convert(
                {
                    "name": name,
                    "role": role,
                    "events": role == "read",
                    "slots": 4 if role == "read" else 64,
                    "queue": 64,
                    "cache_tokens": 40_000,
                    "read_tokens_per_s": 20_000.0,
                    "journal": "engines.jsonl",
                },
                EngineSettings,
            )
            engine = StandInEngine(sim.program(name), settings)
            _, port = engine.start(HOST, 0)
            engines.append(engine)
            instances.append(
                EngineInstance(
                    settings,
                    0,
                    "reader" if role == "read" else "writer",
                    port=port,
                    events_port=engine.events_port,
                    replay_port=engine.replay_port,
                )
            )
        sim.files["servers.toml"] = server_list(instances).encode()
        document: dict[str, Any] = {"index": {"block_size": 64, "mode": mode}}
        planner = Planner(sim.program("planner"), parse("c", to_toml({**document, "planner": {"listen": f"{HOST}:0"}})))
        _, port = planner.start()
        edges = []
        for number in range(EDGES):
            config = {**document, "edge": {"planner": f"{HOST}:{port}", "number": number, "dispatchers": EDGES}}
            edges.append(Edge(sim.program(f"edge{number}"), parse("c", to_toml(config))).start())
        clients = sim.program("clients")
        start, seconds = sim.now_us(), SECONDS[readers]
        if kind == "forget":
            for engine in engines:
                sim.scheduler.timers.set(start + int(seconds / 2 * 1e6), engine.cache.clear)
        if kind == "flood":
            clients.spawn("flood", flood, start + int(seconds / 3 * 1e6), edges)
        return run_load(clients, traffic(readers, 1), edges, "yardspindle-demo")

    def flood(at_us: int, edges: list[tuple[str, int]]) -> None:
        world = sim.programs["clients"]
        world.sleep_until(at_us)
        run_load(
            world,
            traffic(
                readers,
                2,
                seconds=SECONDS[readers] / 3,
                opening_words=0,
                turn_words=300,
                turns=1.0,
                rate_per_s=0.4 * RATE_PER_READER * readers,
            ),
            edges,
            "yardspindle-demo",
        )

    report = sim.run("case", program)
    assert not sim.crashes, sim.crashes[:1]
    return job, report.first_token_us, report.outcomes, counts["kept"] / max(counts["tokens"], 1)


@click.command()
@click.option("--jobs", default=multiprocessing.cpu_count())
def main(jobs: int) -> None:
    """Run all cases and print a table."""
    cases = [(kind, readers, mode) for readers in sorted(SECONDS, reverse=True) for kind in KINDS for mode in MODES]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        results = {
            case: (LoadReport(outcomes=outcomes, first_token_us=first_us), hits)
            for case, first_us, outcomes, hits in pool.imap_unordered(run_case, cases)
        }
    for readers in sorted(SECONDS):
        for kind in KINDS:
            off = results[(kind, readers, "off")][0]
            for mode in MODES:
                report, hits = results[(kind, readers, mode)]
                ordered = sorted(report.first_token_us.values())
                times = "  ".join(f"p{at} {ordered[len(ordered) * at // 100] / 1_000:6.1f}" for at in (50, 90, 99))
                click.echo(
                    f"{readers:3} readers  {kind:7} {mode:7} hits {hits:.3f}  first token, virtual ms: {times}  "
                    f"{dict(sorted(report.outcomes.items()))}"
                )
                if mode != "off":
                    click.echo(f"{'':14}compared with mode off: {compare_runs(off, report, 1)}")


if __name__ == "__main__":
    main()
