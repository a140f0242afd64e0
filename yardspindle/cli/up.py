"""`yardspindle up`: runs a dispatcher (edge and planner) with simulated engines on loopback, without configuration."""

from __future__ import annotations

import click

from yardspindle.cli.common import CliError, configure_logging, run_until_stopped
from yardspindle.core.config import LogConfig
from yardspindle.lab.fleet import small_fleet
from yardspindle.runtime.process import ChildError
from yardspindle.runtime.real import RealWorld


@click.command("up")
@click.option("--port", default=0, type=click.IntRange(0, 65_535), help="0: any free port.")
@click.option(
    "--cells",
    default=2,
    show_default=True,
    type=click.IntRange(1, 16),
    help="Number of cells, each with one reader and one writer.",
)
def up_command(port: int, cells: int) -> None:
    """Start a complete router with simulated engines; the first line of output has its address."""
    configure_logging(LogConfig(format="console"))
    world = RealWorld()
    fleet = small_fleet(world, cells, shared_store=True)
    fleet.dispatchers[0].port = port

    def start() -> str:
        try:
            fleet.start()
        except ChildError as error:
            stop()
            raise CliError(str(error)) from None
        return f"http://127.0.0.1:{fleet.dispatchers[0].port}/v1"

    def stop() -> None:
        fleet.stop()
        fleet.remove_files()

    run_until_stopped("up", world, start, stop, "up")
