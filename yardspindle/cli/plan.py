"""`yardspindle plan FILE`: runs a planner (the process that decides which server does what).

`yardspindle release plan` is unrelated: it shows the waves of a release.
"""

from __future__ import annotations

import click

from yardspindle.cli.common import configure_logging, load_config, run_until_stopped
from yardspindle.planner.app import Planner
from yardspindle.runtime.real import RealWorld


@click.command("plan")
@click.argument("file", type=click.Path(dir_okay=False))
def plan_command(file: str) -> None:
    """Run a planner: it reads the server list and decides for the edges that link to it."""
    config = load_config(file)
    configure_logging(config.log)
    world = RealWorld()
    planner = Planner(world, config)

    def start() -> str:
        host, port = planner.start()
        return f"link://{host}:{port}"

    run_until_stopped("planner", world, start, lambda: None, f"{file}: planner.listen: {config.planner.listen}")
