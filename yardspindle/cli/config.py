"""`yardspindle config check FILE`: validates a configuration file and, optionally, a server list."""

from __future__ import annotations

import click

from yardspindle.cli.common import CliError, load_config
from yardspindle.core.config import ConfigError
from yardspindle.core.hosts.server_list import parse_server_list


@click.group("config")
def config_group() -> None:
    """Configuration files."""


@config_group.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--servers", type=click.Path(dir_okay=False), help="Server list to check as well.")
def check_command(file: str, servers: str | None) -> None:
    """Check a configuration file; exit 0 if it is valid, else print one line and exit 2."""
    config = load_config(file)
    if servers is not None:
        try:
            with open(servers, "rb") as source:
                document = parse_server_list(servers, source.read(), config)
        except OSError as error:
            raise CliError(f"{servers}: {error.strerror}") from None
        except ConfigError as error:
            raise CliError(str(error)) from None
        click.echo(f"{servers}: {len(document.servers)} servers")
    click.echo(f"{file}: {len(config.classes)} classes, {len(config.kinds)} kinds, {len(config.tenants)} tenants")
