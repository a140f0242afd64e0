"""`yardspindle engine`: runs a simulated engine, to try the router without a model."""

from __future__ import annotations

import click
import msgspec

from yardspindle.cli.common import CliError, run_until_stopped
from yardspindle.lab.engine import StandInEngine
from yardspindle.lab.engine_settings import EngineSettings
from yardspindle.runtime.real import RealWorld


@click.command("engine")
@click.option("--settings", "file", type=click.Path(dir_okay=False), help="JSON file with the engine's settings.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, type=click.IntRange(0, 65_535), help="0: any free port.")
@click.option(
    "--events-port",
    default=0,
    type=click.IntRange(0, 65_535),
    help="Port for cache events, if the settings enable them.",
)
@click.option(
    "--replay-port", default=0, type=click.IntRange(0, 65_535), help="Port for replays of missed cache events."
)
def engine_command(file: str | None, host: str, port: int, events_port: int, replay_port: int) -> None:
    """Run a simulated engine that serves prefill, decode, or both, without a model."""
    settings = EngineSettings()
    if file is not None:
        try:
            with open(file, "rb") as source:
                settings = msgspec.json.decode(source.read(), type=EngineSettings)
        except OSError as error:
            raise CliError(f"{file}: {error.strerror}") from None
        except msgspec.DecodeError as error:
            raise CliError(f"{file}: {error}") from None
    world = RealWorld()
    engine = StandInEngine(world, settings)

    def start() -> str:
        address = engine.start(host, port, events_port, replay_port)
        # Parsed by lab/fleet.py: the URL, and the ports of cache events and of their replays (0: not published).
        return f"http://{address[0]}:{address[1]}/v1 {engine.events_port} {engine.replay_port}"

    run_until_stopped("engine", world, start, lambda: None, f"--port: {host}:{port}")
