"""The root command, which collects all sub-commands."""

from __future__ import annotations

import click

from yardspindle.cli.config import config_group
from yardspindle.cli.edge import edge_command
from yardspindle.cli.engine import engine_command
from yardspindle.cli.fleet import fleet_group
from yardspindle.cli.lab import lab_group
from yardspindle.cli.plan import plan_command
from yardspindle.cli.release import drain_command, release_group, undrain_command
from yardspindle.cli.steward import steward_command
from yardspindle.cli.unit import unit_command
from yardspindle.cli.up import up_command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="yardspindle")
def main() -> None:
    """A router for language models that read prompts and write answers on separate engines."""


for command in (
    up_command,
    edge_command,
    plan_command,
    steward_command,
    unit_command,
    engine_command,
    fleet_group,
    release_group,
    drain_command,
    undrain_command,
    config_group,
    lab_group,
):
    main.add_command(command)
