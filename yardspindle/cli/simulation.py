"""`yardspindle lab seeds`, `seed` and `shrink`: seeded worlds on the virtual clock."""

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

QUIET = 50  # above every level that the programs log at


@click.command("seeds")
@click.option("--first", default=0, type=click.IntRange(0), help="First seed.")
@click.option("--count", default=1_000, type=click.IntRange(1), help="How many.")
@click.option("--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Processes.")
@click.option("--transitions/--no-transitions", default=True, help="Count the life cycles' steps.")
@click.option(
    "--world",
    default="traffic",
    show_default=True,
    type=click.Choice(["traffic", "fleet"]),
    help="Clients, dispatchers and engines; or stewards, store and what they act on.",
)
def seeds_command(first: int, count: int, jobs: int, transitions: bool, world: str) -> None:
    """Play many seeded worlds; exit 0 when none failed, 1 when one did. Ctrl-C stops with what there is."""
    tally = seeds.SeedSummary()
    stopped = False
    try:
        with (
            closing(seeds.run_seeds(first, count, jobs, transitions, world)) as outcomes,
            click.progressbar(length=count, label="worlds", file=sys.stderr) as bar,
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
@click.option("--trace", is_flag=True, help="Print all that clients and boxes see, and the programs' logs.")
@click.option("--world", default="traffic", show_default=True, type=click.Choice(["traffic", "fleet"]))
def seed_command(seed: int | None, file: str | None, trace: bool, world: str) -> None:
    """Play one world; exit 0 when it breaks nothing, 1 when it does."""
    if world == "fleet":
        return _fleet_seed(seed, file, trace)
    script = _script(seed, file)
    _logs(trace)
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
        raise CliError("a world of the fleet is played by its seed")
    _logs(trace)
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
    """Cut a failing world down to the fewest faults and requests, and print it as a script."""
    script = _script(seed, file)
    _logs(False)
    try:
        small = seeds.shrink(script, lambda text: click.echo(text, err=True))
    except ValueError as error:
        raise CliError(f"seed {script.seed}: {error}") from None
    click.echo(msgspec.json.encode(small).decode())


def _script(seed: int | None, file: str | None) -> Script:
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


def _logs(trace: bool) -> None:
    if trace:
        configure_logging(LogConfig(format="console", level="info"))
    else:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(QUIET))
