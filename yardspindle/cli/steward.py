"""`yardspindle steward FILE`: runs a steward, which does background tasks (duties) for the whole fleet."""

from __future__ import annotations

from importlib.metadata import version

import click

from yardspindle.cli.common import CliError, configure_logging, load_config, open_store_at_start, run_until_stopped
from yardspindle.core.config import ConfigError
from yardspindle.fleet.store.interface import StoreError
from yardspindle.runtime.real import RealWorld
from yardspindle.steward.app import Steward


@click.command("steward")
@click.argument("file", type=click.Path(dir_okay=False))
def steward_command(file: str) -> None:
    """Run a steward: it takes over duties of the fleet, each with one owner. Any number of stewards may run."""
    config = load_config(file)
    configure_logging(config.log)
    if not config.fleet.store:
        raise CliError(f"{file}: fleet.store: missing; stewards need a store to share their duties")
    world = RealWorld()
    running: list[Steward] = []

    def start() -> str:
        where = f"{file}: fleet.store: {', '.join(config.fleet.store)}"
        try:
            store = open_store_at_start(world, config.fleet, read=True)
        except (StoreError, OSError) as error:
            raise ConfigError(f"{where}: {error}") from None
        running.append(Steward(world, config, store, version("yardspindle")))
        host, port = running[0].start()
        return f"http://{host}:{port}"

    run_until_stopped(
        "steward", world, start, lambda: running[0].shut_down(), f"{file}: fleet.listen: {config.fleet.listen}"
    )
