"""`yardspindle edge FILE`: runs an edge (the process that holds the client connections)."""

from __future__ import annotations

import click

from yardspindle.cli.common import CliError, configure_logging, load_config, run_until_stopped
from yardspindle.core.config import ConfigError
from yardspindle.edge.app import Edge
from yardspindle.fleet.departure import request_departure
from yardspindle.runtime.real import RealWorld


@click.command("edge")
@click.argument("file", type=click.Path(dir_okay=False))
def edge_command(file: str) -> None:
    """Run an edge: it holds client connections and executes its planner's decisions."""
    config = load_config(file)
    configure_logging(config.log)
    world = RealWorld()
    try:
        edge = Edge(world, config)
    except ConfigError as error:
        raise CliError(f"{file}: {error}") from None

    def start() -> str:
        host, port = edge.start()
        return f"http://{host}:{port}/v1"

    def stop() -> None:
        if config.fleet.store and config.fleet.ask_leave:
            request_departure(world, config, config.fleet.member or f"edge{config.edge.number}")
        edge.drain()

    run_until_stopped("edge", world, start, stop, f"{file}: edge.listen: {config.edge.listen}")
