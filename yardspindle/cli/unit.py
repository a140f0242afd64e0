"""`yardspindle unit FILE`: runs the supervisor of one unit (a dispatcher or model host that releases restart)."""

from __future__ import annotations

from importlib.metadata import version

import click

from yardspindle.cli.common import CliError, configure_logging, load_config, open_store_at_start, run_until_stopped
from yardspindle.core.config import ConfigError, decode_toml
from yardspindle.core.fleet.unit import UnitFile
from yardspindle.fleet.store.interface import StoreError
from yardspindle.runtime.real import RealWorld
from yardspindle.unit.app import UnitSupervisor
from yardspindle.unit.runner import ProcessRunner


@click.command("unit")
@click.argument("file", type=click.Path(dir_okay=False))
def unit_command(file: str) -> None:
    """Run a unit's supervisor: it starts the unit, reports its status and executes its orders."""
    try:
        with open(file, "rb") as source:
            unit_file = decode_toml(file, source.read(), UnitFile)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CliError(str(error)) from None
    config = load_config(unit_file.fleet)
    if not config.fleet.store:
        raise CliError(f"{unit_file.fleet}: fleet.store: missing; a unit takes its orders from the store")
    configure_logging(config.log)
    world = RealWorld()
    running: list[UnitSupervisor] = []

    def start() -> str:
        try:
            store = open_store_at_start(world, config.fleet, read=False)
            running.append(
                UnitSupervisor(
                    world, unit_file, config.fleet, store, version("yardspindle"), ProcessRunner(world, unit_file)
                )
            )
        except (StoreError, OSError) as error:
            raise ConfigError(f"{unit_file.fleet}: fleet.store: {error}") from None
        except ValueError as error:
            raise ConfigError(f"{file}: state: {error}") from None
        return f"http://{running[0].start()}"

    # `page`: the setting with the address to listen at
    run_until_stopped("unit", world, start, lambda: running[0].stop(), f"{file}: page")
