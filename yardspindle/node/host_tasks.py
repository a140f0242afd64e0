"""What the tasks that call model hosts about places, releases and probes have in common."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.node.host_client import HostClient
from yardspindle.runtime.world import World


@dataclass(eq=False)
class HostTasks:
    """Makes one kind of call to model hosts, each in a task of its own, and reports the results to the core."""

    _world: World  # the interface to clock, sockets, files and randomness
    _core: EdgeCore
    _hosts: HostClient
    _ids: dict[int, bytes]  # of all requests for which something may be held
    _perform: Callable[[list[c.Command]], None]  # carries out the core's commands
    _forget: Callable[[int], None]  # called with its request at the end of each call
