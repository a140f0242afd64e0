"""Releases on their way: each call that asks a model host to let go of what is held for a request is a task here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import commands as c
from yardspindle.core.request import timeouts
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.request_releases import RequestRelease
from yardspindle.node import log
from yardspindle.node.host_client import CallCancelled, HostClient
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Task
from yardspindle.runtime.world import World


@dataclass(slots=True)
class ReleaseCall:
    """A call that is out."""

    written: bool = False  # it may be, by now
    late: bool = False  # other hosts are asked beside it


class ReleaseTasks:
    """The calls that are out, by request."""

    def __init__(
        self,
        world: World,
        core: EdgeCore,
        hosts: HostClient,
        ids: dict[int, bytes],
        perform: Callable[[list[c.Command]], None],
        forget: Callable[[int], None],
    ) -> None:
        """`ids`: of all requests for which something may be held; `forget` is told when one is done with."""
        self._world = world
        self._core = core
        self._hosts = hosts
        self._ids = ids
        self._perform = perform
        self._forget = forget
        self.running: dict[int, dict[Task, ReleaseCall]] = {}

    def start(self, room: RequestRelease, server: Server) -> None:
        """Ask one host to let go of all that is held for a request."""
        task = self._world.spawn("release", self._release, room, server)
        self.running.setdefault(room.request, {})[task] = ReleaseCall()

    def in_flight(self, request: int) -> bool:
        """Whether a call that may be written is out, also one that another host's answer has made needless."""
        return any(call.written for call in self.running.get(request, {}).values())

    def _release(self, room: RequestRelease, server: Server) -> None:
        heard: bool | None = False
        task, tasks = self._world.current(), self.running[room.request]
        call = tasks[task]

        def ready() -> http1.Headers:
            if not self._core.may_send_release(room):
                raise CallCancelled  # another host has let go meanwhile
            call.written = True
            return []

        def overdue() -> None:
            if not self._core.release_pending(room.request):
                task.cancel()  # another host has let go, and a newer attempt may wait for this call's end
                return
            call.late, commands = self._core.request_release_overdue(self._world.now_us(), room, server.number)
            if not call.late:
                task.cancel()
            self._perform(commands)

        stop_watch = self._world.call_at(
            self._world.now_us() + timeouts.RELEASE_CALL_US, lambda: log.run_guarded(overdue)
        )
        try:
            if self._core.may_send_release(room):
                with self._world.deadline(self._world.now_us() + timeouts.LATE_RELEASE_CALL_US):
                    heard = self._hosts.release(server, self._ids[room.request], ready)
        except (CallCancelled, DeadlineExceeded):
            pass
        finally:
            stop_watch()
            del tasks[task]
            if not tasks:
                del self.running[room.request]
            if heard:
                self._call_off_late(tasks)
            self._perform(
                self._core.request_release_settled(self._world.now_us(), room, server.number, heard, call.late)
            )
            self._log_release(room, server, heard)
            self._forget(room.request)

    def _call_off_late(self, tasks: dict[Task, ReleaseCall]) -> None:
        """A host has let go: what lies unread at one that was late must not come to it under a newer attempt."""
        for task, call in list(tasks.items()):
            if call.late and call.written:
                task.cancel()

    def _log_release(self, room: RequestRelease, server: Server, heard: bool | None) -> None:
        """Tell of a release that did not get through at once."""
        if not heard or room.failed:
            log.write(
                "release",
                id=self._ids.get(room.request, b"?").decode(),
                at=server.name,
                heard=heard,
                tries=len(room.failed),
                ms=(self._world.now_us() - room.since_us) // 1_000,
                said=room.confirmations,
            )
