"""Releases on their way: each call that asks a model host to let go of what is held for a request is a task here."""

from __future__ import annotations

from collections.abc import Callable

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.rooms import Room
from yardspindle.node import log
from yardspindle.node.hosts import CalledOff, Hosts
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Task
from yardspindle.runtime.world import World


class ReleaseTasks:
    """The calls that are out, by request."""

    def __init__(self, world: World, core: EdgeCore, hosts: Hosts, ids: dict[int, bytes],
                 perform: Callable[[list[c.Command]], None], forget: Callable[[int], None]) -> None:
        """`ids`: of all requests for which something may be held; `forget` is told when one is done with."""
        self._world = world
        self._core = core
        self._hosts = hosts
        self._ids = ids
        self._perform = perform
        self._forget = forget
        self.running: dict[int, dict[Task, bool]] = {}  # each call, and whether it may be written by now

    def start(self, room: Room, server: Server) -> None:
        """Ask one host to let go of all that is held for a request."""
        task = self._world.spawn("release", self._release, room, server)
        self.running.setdefault(room.request, {})[task] = False

    def _release(self, room: Room, server: Server) -> None:
        heard: bool | None = False
        late = False
        task, tasks = self._world.current(), self.running[room.request]

        def ready() -> http1.Headers:
            if not self._core.freeing(room):
                raise CalledOff  # a newer attempt was sent meanwhile, whose own end lets go of everything
            tasks[task] = True
            return []

        def overdue() -> None:
            nonlocal late
            late, commands = self._core.room_overdue(self._world.now_us(), room, server.number, tasks[task])
            if not late:
                task.cancel()
            self._perform(commands)

        stop_watch = self._world.call_at(self._world.now_us() + timeouts.FREE_US, lambda: log.guarded(overdue))
        try:
            if self._core.freeing(room):
                with self._world.deadline(self._world.now_us() + timeouts.FREE_LATE_US):
                    heard = self._hosts.release(server, self._ids[room.request], ready)
        except (CalledOff, DeadlineExceeded):
            pass
        finally:
            stop_watch()
            del tasks[task]
            if not tasks:
                del self.running[room.request]
            self._perform(self._core.room_settled(self._world.now_us(), room, server.number, heard, late))
            self._log_release(room, server, heard)
            self._forget(room.request)

    def _log_release(self, room: Room, server: Server, heard: bool | None) -> None:
        """Tell of a release that did not get through at once."""
        after_us = self._world.now_us() - room.since_us
        if not heard or after_us > timeouts.FREE_US:
            log.line("release", id=self._ids.get(room.request, b"?").decode(), at=server.name, heard=heard,
                     tries=len(room.tried), ms=after_us // 1_000)

    def wait(self, request: int) -> None:
        """Releases that are under way must not take what a newer attempt needs: wait for them, then cut them off.

        Those that are not written yet will not be: they are asked before (`EdgeCore.freeing`).
        """
        tasks = [task for task, written in self.running.get(request, {}).items() if written]
        if not tasks:
            return
        limit = self._world.deadline(self._world.now_us() + timeouts.FREE_FIRST_US)
        try:
            with limit:
                for task in tasks:
                    task.join()
        except DeadlineExceeded:
            for task in tasks:
                task.cancel()
            if not limit.passed:  # it is the attempt's own time that is up
                raise

