"""`yardspindle lab`: scripted fault scenarios with an audit, open-loop load, comparisons of two configurations."""

from __future__ import annotations

import re
import sys
import tomllib
from typing import Any

import click

from yardspindle.cli.common import CliError, configure_logging, load_config, run_until_stopped
from yardspindle.cli.simulation import seed_command, seeds_command, shrink_command
from yardspindle.core.config import ADDRESS, ConfigError, LogConfig, split_address
from yardspindle.lab.day import DayRun, load_day
from yardspindle.lab.etcd import EtcdStandIn
from yardspindle.lab.fleet import small_fleet
from yardspindle.lab.load import LoadReport, Traffic, compare_runs, load_traffic, run_load
from yardspindle.runtime.process import ChildError
from yardspindle.runtime.real import RealWorld


@click.group("lab")
def lab_group() -> None:
    """Test runs on loopback or in simulated time, and a simulated etcd server. Test runs end by themselves."""


lab_group.add_command(seeds_command)
lab_group.add_command(seed_command)
lab_group.add_command(shrink_command)


@lab_group.command("day")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Seed to use instead of the file's.")
@click.option("--keep", type=click.Path(file_okay=False, exists=True), help="Directory to keep the journals in.")
def day_command(file: str, seed: int | None, keep: str | None) -> None:
    """Run a scripted day: a local fleet under load, with faults at set times, then an audit.

    Exit 0 if no rule was violated, else 1."""
    configure_logging(LogConfig(format="console", level="warning"))
    try:
        day = load_day(file)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CliError(str(error)) from None
    world = RealWorld(day.seed if seed is None else seed)
    run = DayRun(world, day, click.echo, keep)
    try:
        report = world.run("day", run.run)
    except ChildError as error:
        raise CliError(str(error)) from None
    click.echo(report.summary())
    sys.exit(1 if report.violations else 0)


@lab_group.command("etcd")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="HOST:PORT; port 0: any free port.")
@click.option("--journal", default="", help="File to log every request and response to, as JSON lines.")
def etcd_command(listen: str, journal: str) -> None:
    """Run a simulated etcd server (JSON gateway) that injects faults on request."""
    if re.fullmatch(ADDRESS, listen) is None:
        raise CliError(f"--listen: {listen}: not an address with a port")
    world = RealWorld()
    stand_in = EtcdStandIn(world, journal)

    def start() -> str:
        host, port = stand_in.start(*split_address(listen))
        return f"http://{host}:{port}"

    run_until_stopped("etcd", world, start, lambda: None, f"--listen: {listen}")


@lab_group.command("load")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--at", "address", help="Edge on loopback, HOST:PORT; default: start a small fleet.")
def load_command(file: str, address: str | None) -> None:
    """Send random open-loop traffic and print latencies, measured from the intended send times."""
    traffic = _load_traffic(file)
    click.echo(_run_traffic(traffic, {}, address).summary())


@lab_group.command("compare")
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("a", type=click.Path(dir_okay=False))
@click.argument("b", type=click.Path(dir_okay=False))
def compare_command(file: str, a: str, b: str) -> None:
    """Run the same traffic on two configurations and compare each request.

    A and B are TOML files whose settings override those of the small fleet."""
    traffic = _load_traffic(file)
    reports = []
    for name, path in (("A", a), ("B", b)):
        load_config(path)  # report an invalid file before anything starts
        with open(path, "rb") as source:
            report = _run_traffic(traffic, tomllib.load(source), None)
        click.echo(f"{name} ({path})\n{report.summary()}")
        reports.append(report)
    click.echo(compare_runs(reports[0], reports[1], traffic.seed))


def _load_traffic(file: str) -> Traffic:
    configure_logging(LogConfig(format="console", level="warning"))
    try:
        return load_traffic(file)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CliError(str(error)) from None


def _run_traffic(traffic: Traffic, settings: dict[str, Any], address: str | None) -> LoadReport:
    if address is not None and not address.startswith(("127.", "[::1]")):
        raise CliError(f"--at: {address}: not an address of this machine's loopback")
    world = RealWorld(traffic.seed)
    fleet = small_fleet(world) if address is None else None

    def program() -> LoadReport:
        if fleet is None:
            assert address is not None
            return run_load(world, traffic, [split_address(address)], "yardspindle-demo")
        fleet.config = {**fleet.config, **settings}
        try:
            fleet.start()
            return run_load(
                world,
                traffic,
                [("127.0.0.1", d.port) for d in fleet.dispatchers],
                fleet.config.get("model", "yardspindle-demo"),
            )
        except ChildError as error:
            raise CliError(str(error)) from None
        finally:
            fleet.stop()
            fleet.remove_files()

    return world.run("load", program)
