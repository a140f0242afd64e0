"""`python -m yardspindle.node`: runs one dispatcher (router process), configured by the `ROUTER_*` variables.

They are environment variables that the operators' platform sets; the `World` passed around is the interface to clock,
sockets, files and randomness.
"""

from __future__ import annotations

import gc
import os
import signal
import sys

from yardspindle.core.config import ConfigError
from yardspindle.node import log
from yardspindle.node.app import Node
from yardspindle.node.config import NodeConfig, read_config, required_variables
from yardspindle.node.config_reload import ConfigReload
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Task


def main() -> int:
    """Run until a signal stops it; returns the exit status."""
    world = RealWorld()
    try:
        variables = required_variables(os.environ)
        world.run("node", lambda: run(world, variables))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:  # expected from listening only: `read_config` turns its own into a ConfigError
        print(
            f"ROUTER_LISTEN: {os.environ.get('ROUTER_LISTEN')}, or `listen` in {os.environ.get('ROUTER_CONFIG')}: "
            f"{error.strerror}",
            file=sys.stderr,
        )
        return 2
    return 0


def run(world: RealWorld, variables: dict[str, str]) -> None:
    """The main task: handle signals, start, wait for a stop signal, drain.

    Signal handlers are installed before the configuration file is read, so that a change announced by SIGHUP is either
    in what is read or causes a reload. Until then SIGHUP is ignored, as the command in deploy/balancer.toml sees to.
    """

    node: Node | None = None

    def apply(config: NodeConfig) -> None:
        if node is not None:  # otherwise the start is still to read the file
            node.reload(config)

    def stop() -> None:
        if node is not None:
            node.stop()  # the health check fails from now on; the main task then drains
        world.stop.set()

    def read() -> NodeConfig:
        return read_config(world.read_file, variables)

    reload = ConfigReload(world, read, apply)
    world.scheduler.on_crash = log_crash
    world.scheduler.on_timer_error = log.timer_failed
    world.on_signals({signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload.request})
    node = Node(world, reload.read_at_start())
    if world.stop.is_set:
        node.stop()
    node.start()
    if not world.stop.is_set:
        gc.collect()  # with `freeze`: later collections, which block all tasks, skip the objects made at the start
        gc.freeze()
        log.write("ready", name=node.config.name)
    world.stop.wait()
    node.drain()


def log_crash(task: Task, error: BaseException) -> None:
    """Log an uncaught error of a task; it ends that task only."""
    log.write("a task failed", task=task.name, fault=f"{type(error).__name__}: {error}")


if __name__ == "__main__":
    sys.exit(main())
