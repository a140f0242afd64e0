"""Shared by the sub-commands: logging, configuration, running a program until a signal, one-line errors."""

from __future__ import annotations

import contextlib
import logging
import os
import sys
from collections.abc import Callable
from typing import TextIO, cast

import click
import structlog

from yardspindle.core.config import Config, ConfigError, FleetConfig, LogConfig, parse
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import World

STORE_RETRY_LIMIT_US = 2_000_000
STORE_RETRY_PAUSE_US = 50_000
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class CliError(click.ClickException):
    """A wrong argument, a wrong file or a failed start; prints one line on standard error and exits with code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the message without click's prefix."""
        click.echo(self.message, err=True)


class _LogFile:
    """Standard error without its errors: a log that cannot be written must not end the task that logs."""

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.flush()


def configure_logging(config: LogConfig) -> None:
    """Send structured logs to standard error."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if config.format == "json" else structlog.dev.ConsoleRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[config.level]),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, _LogFile())),
        cache_logger_on_first_use=True,
    )


def load_config(path: str | None) -> Config:
    """Load a configuration file; without a path, the defaults. Raises CliError."""
    if path is None:
        return parse("defaults", b"")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise CliError(f"{path}: {error.strerror}") from None
    try:
        return parse(path, data)
    except ConfigError as error:
        raise CliError(str(error)) from None


def open_store_at_start(world: World, config: FleetConfig, read: bool) -> Store:
    """Open the fleet's store, and read it if asked to; tries again for a limited time if that fails.

    `read`: a store that stays unreachable is so reported now, not after the start. Raises StoreError and OSError."""
    until_us = world.now_us() + STORE_RETRY_LIMIT_US
    while True:
        try:
            store = open_store(world, config)
            if read:
                store.range(b"\0")  # any key will do
            return store
        except (StoreError, OSError):
            if world.now_us() >= until_us:
                raise
        world.sleep_until(world.now_us() + STORE_RETRY_PAUSE_US)


def run_until_stopped(
    name: str, world: RealWorld, start: Callable[[], str], stop: Callable[[], None], where: str
) -> None:
    """Run a program: start it, print the ready line, wait for a stop signal, stop it.

    `world` is the interface to clock, sockets, files and signals.
    `where` is put before an OSError's text and names the setting at fault. Raises CliError if the start fails."""

    def program() -> None:
        world.stop_on_signals()
        try:
            ready = start()
        except ConfigError as error:
            raise CliError(str(error)) from None
        except OSError as error:
            raise CliError(f"{where}: {os.strerror(error.errno) if error.errno else error}") from None
        click.echo(f"ready {ready}")
        sys.stdout.flush()
        world.stop.wait()
        stop()

    def log_crash(task: object, error: BaseException) -> None:
        structlog.get_logger("yardspindle").error("task failed", task=getattr(task, "name", "?"), exc_info=error)

    def log_timer_error(error: Exception) -> None:
        structlog.get_logger("yardspindle").error("timer failed", exc_info=error)

    world.scheduler.on_crash = log_crash
    world.scheduler.on_timer_error = log_timer_error
    world.run(name, program)
