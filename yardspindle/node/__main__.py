"""`python -m yardspindle.node`: one dispatcher on the users' platform, told by `ROUTER_*` what it is."""

from __future__ import annotations

import gc
import os
import signal
import sys

from yardspindle.core.config import ConfigError
from yardspindle.node import log
from yardspindle.node.app import Node
from yardspindle.node.config import read_config, required_variables
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Task


def main() -> int:
    """Run until a signal."""
    world = RealWorld()
    try:
        told = required_variables(os.environ)
        world.run("node", lambda: run(world, told))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ROUTER_LISTEN: {os.environ.get('ROUTER_LISTEN')}: {error.strerror}", file=sys.stderr)
        return 2
    return 0


def run(world: RealWorld, told: dict[str, str]) -> None:
    """The first task: signals, start, and the end.

    Signals are heard before the file is read: what SIGHUP announces is then in what is read, or is read anew. Until
    then the command that the deploy file gives has SIGHUP ignored.
    """

    def reload() -> None:
        try:
            node.reload(read_config(world.read_file, told))
        except ConfigError as error:
            log.write("the new configuration is not taken", fault=error)

    def stop() -> None:
        node.stop()
        world.stop.set()

    world.scheduler.on_crash = log_crash
    world.on_signals({signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload})
    node = Node(world, read_config(world.read_file, told))
    node.start()
    if not world.stop.is_set:
        gc.collect()
        gc.freeze()
        log.write("ready", name=node.config.name)
    world.stop.wait()
    node.drain()


def log_crash(task: Task, error: BaseException) -> None:
    """A task's own error ends that task alone."""
    log.write("a task failed", task=task.name, fault=f"{type(error).__name__}: {error}")


if __name__ == "__main__":
    sys.exit(main())
