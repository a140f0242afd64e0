"""`yardspindle lab seeds`, `seed` and `shrink`: seeded simulations on virtual time.

`--world` selects what runs: `traffic` (clients, edges, planner and engines) or `fleet` (stewards, store, edges,
engines).
"""

from __future__ import annotations

import os
import sys
from contextlib import closing

import click
import msgspec
import structlog

from yardspindle.cli.common import CliError, configure_logging
from yardspindle.core.config import LogConfig
from yardspindle.lab import seeds
from yardspindle.lab.fleet_simulation import draw_fleet_script, run_fleet_script
from yardspindle.lab.script import Script, draw_script
from yardspindle.lab.traffic_simulation import run_script

ABOVE_ALL_LEVELS = 50  # higher than every level that the programs log at


@click.command("seeds")
@click.option("--first", default=0, type=click.IntRange(0), help="First seed.")
@click.option("--count", default=1_000, type=click.IntRange(1), help="Number of seeds.")
@click.option("--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Processes.")
@click.option(
    "--transitions/--no-transitions",
    default=True,
    help="Count the state transitions of the requests' life cycles (traffic only).",
)
@click.option(
    "--world",
    default="traffic",
    show_default=True,
    type=click.Choice(["traffic", "fleet"]),
    help="traffic: clients, dispatchers and engines; fleet: stewards, the store and the processes they act on.",
)
def seeds_command(first: int, count: int, jobs: int, transitions: bool, world: str) -> None:
    """Run many seeded simulations; exit 0 if none failed, else 1. Ctrl-C stops early and prints the results so far."""
    tally = seeds.SeedSummary()
    stopped = False
    try:
        with (
            closing(seeds.run_seeds(first, count, jobs, transitions, world)) as outcomes,
            click.progressbar(length=count, label="seeds", file=sys.stderr) as bar,
        ):
            for outcome in outcomes:
                tally.add(outcome)
                bar.update(1)
                if outcome.breaks:
                    click.echo(f"\nFAILED seed {outcome.seed}: {outcome.breaks[0]}", err=True)
    except KeyboardInterrupt:
        stopped = True
    click.echo(tally.summary())
    if stopped:
        click.echo(f"stopped early: {tally.runs} of {count}")
    sys.exit(1 if tally.failed else 0)


@click.command("seed")
@click.argument("seed", type=click.IntRange(0), required=False)
@click.option("--script", "file", type=click.Path(dir_okay=False), help="A script's file instead of a seed.")
@click.option("--trace", is_flag=True, help="Print what clients and engines see, and the programs' logs.")
@click.option("--world", default="traffic", show_default=True, type=click.Choice(["traffic", "fleet"]))
def seed_command(seed: int | None, file: str | None, trace: bool, world: str) -> None:
    """Run one simulation; exit 0 if no rule was violated, else 1. Violations are printed as BROKEN."""
    if world == "fleet":
        return _fleet_seed(seed, file, trace)
    script = _load_script(seed, file)
    _configure_logging(trace)
    for fault in script.faults:
        click.echo(str(fault))
    outcome = run_script(script, click.echo if trace else None)
    click.echo(f"trace {outcome.trace}, {outcome.virtual_ms} virtual ms, {len(script.requests)} requests")
    for name, count in sorted(outcome.tally.items()):
        click.echo(f"{name}: {count}")
    for text in outcome.breaks:
        click.echo(f"BROKEN {text}")
    click.echo(f"broken: {len(outcome.breaks)}")
    sys.exit(1 if outcome.breaks else 0)


def _fleet_seed(seed: int | None, file: str | None, trace: bool) -> None:
    if seed is None or file is not None:
        raise CliError("a fleet simulation needs a seed and takes no script")
    _configure_logging(trace)
    script = draw_fleet_script(seed)
    for fault in script.faults:
        click.echo(str(fault))
    breaks, counts = run_fleet_script(script)
    for name, count in sorted(counts.items()):
        click.echo(f"{name}: {count}")
    for text in breaks:
        click.echo(f"BROKEN {text}")
    click.echo(f"broken: {len(breaks)}")
    sys.exit(1 if breaks else 0)


@click.command("shrink")
@click.argument("seed", type=click.IntRange(0), required=False)
@click.option("--script", "file", type=click.Path(dir_okay=False), help="A script's file instead of a seed.")
def shrink_command(seed: int | None, file: str | None) -> None:
    """Reduce a failing traffic simulation to the fewest faults and requests and print it as a script."""
    script = _load_script(seed, file)
    _configure_logging(False)
    try:
        shrunk = seeds.shrink(script, lambda text: click.echo(text, err=True))
    except ValueError as error:
        raise CliError(f"seed {script.seed}: {error}") from None
    click.echo(msgspec.json.encode(shrunk).decode())


def _load_script(seed: int | None, file: str | None) -> Script:
    if (seed is None) == (file is None):
        raise CliError("give either a seed or --script FILE")
    if file is None:
        assert seed is not None
        return draw_script(seed)
    try:
        with open(file, "rb") as source:
            return msgspec.json.decode(source.read(), type=Script)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise CliError(f"{file}: {error}") from None


def _configure_logging(trace: bool) -> None:
    if trace:
        configure_logging(LogConfig(format="console", level="info"))
    else:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ABOVE_ALL_LEVELS))
