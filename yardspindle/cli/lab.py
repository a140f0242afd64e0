"""`yardspindle lab day FILE`: plays a scripted bad day on loopback and audits it."""

from __future__ import annotations

import sys

import click

from yardspindle.cli.common import Failure, set_up_logs
from yardspindle.core.config import ConfigError, LogConfig
from yardspindle.lab.day import DayRun, load_day
from yardspindle.runtime.process import ChildError
from yardspindle.runtime.real import RealWorld


@click.group("lab")
def lab_group() -> None:
    """The laboratory: runs on loopback that end by themselves."""


@lab_group.command("day")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Instead of the file's.")
@click.option("--keep", type=click.Path(file_okay=False, exists=True), help="Folder that gets the journals.")
def day_command(file: str, seed: int | None, keep: str | None) -> None:
    """Play a day; exit 0 when all rules were kept, 1 when one broke."""
    set_up_logs(LogConfig(format="console", level="warning"))
    try:
        day = load_day(file)
    except OSError as error:
        raise Failure(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise Failure(str(error)) from None
    world = RealWorld(day.seed if seed is None else seed)
    run = DayRun(world, day, click.echo, keep)
    try:
        report = world.run("day", run.run)
    except ChildError as error:
        raise Failure(str(error)) from None
    click.echo(report.text())
    sys.exit(1 if report.breaks else 0)
