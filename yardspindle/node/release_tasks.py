"""Release calls: each asks a model host to free what is held for a request, in a task of its own.

Held are states (KV cache that a prefill leaves until the decode has fetched it) and places (memory reserved for the
decode). A host passes a release on to all others, so that one host's answer is enough.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import timeouts
from yardspindle.core.request.request_releases import RequestRelease
from yardspindle.node import log
from yardspindle.node.host_client import CallCancelled
from yardspindle.node.host_tasks import HostTasks
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Task


@dataclass(slots=True)
class ReleaseCall:
    """A release call in flight."""

    written: bool = False  # its bytes may have been sent
    sent_us: int = 0  # when that began
    late: bool = False  # it is overdue and goes on, while other hosts are asked as well


@dataclass(eq=False)
class ReleaseTasks(HostTasks):
    """The release calls in flight, by request."""

    running: dict[int, dict[Task, ReleaseCall]] = field(default_factory=dict, init=False)

    def start(self, release: RequestRelease, server: Server) -> None:
        """Ask one host to release all that is held for a request."""
        task = self._world.spawn("release", self._release, release, server)
        self.running.setdefault(release.request, {})[task] = ReleaseCall()

    def in_flight(self, request: int) -> bool:
        """Whether a call that may have been written is in flight.

        It may still take effect, also if another host has released everything, so new attempts wait for its end.
        """
        return any(call.written for call in self.running.get(request, {}).values())

    def _release(self, release: RequestRelease, server: Server) -> None:
        """The task of a call: make it unless the release is done already, and report the result to the core."""
        acknowledged: bool | None = False
        task, tasks = self._world.current(), self.running[release.request]
        call = tasks[task]

        def late_headers() -> http1.Headers:
            if not self._core.may_send_release(release):
                raise CallCancelled  # what is held was released by another host meanwhile
            call.written, call.sent_us = True, self._world.now_us()
            return []

        def overdue() -> None:
            if not self._core.release_pending(release.request):
                task.cancel()  # another host has released it, and a newer attempt may wait for this call to end
                return
            call.late, commands = self._core.request_release_overdue(self._world.now_us(), release, server.number)
            if not call.late:  # the core decides whether an overdue call goes on beside those to other hosts
                task.cancel()
            self._perform(commands)

        cancel_timer = self._world.call_at(
            self._world.now_us() + timeouts.RELEASE_CALL_US, lambda: log.run_guarded(overdue)
        )
        try:
            if self._core.may_send_release(release):
                with self._world.deadline(self._world.now_us() + timeouts.LATE_RELEASE_CALL_US):
                    acknowledged = self._hosts.release(server, self._ids[release.request], late_headers)
        except (CallCancelled, DeadlineExceeded):
            pass
        finally:
            cancel_timer()
            del tasks[task]
            if not tasks:
                del self.running[release.request]
            if acknowledged:
                self._cancel_late_calls(tasks)
            self._perform(
                self._core.request_release_settled(
                    self._world.now_us(), release, server.number, acknowledged, call.late, call.sent_us
                )
            )
            self._log_release(release, server, acknowledged)
            self._forget(release.request)

    def _cancel_late_calls(self, tasks: dict[Task, ReleaseCall]) -> None:
        """Cancel late calls after another host's release: one read later could release what a newer attempt holds."""
        for task, call in list(tasks.items()):
            if call.late and call.written:
                task.cancel()

    def _log_release(self, release: RequestRelease, server: Server, acknowledged: bool | None) -> None:
        """Log a release that was not acknowledged at the first try.

        `heard`: whether this call was acknowledged, None if no descriptor was free; `tries`: failed calls; `said`:
        confirmations by hosts so far.
        """
        if not acknowledged or release.failed:
            log.write(
                "release",
                id=self._ids.get(release.request, b"?").decode(),
                at=server.name,
                heard=acknowledged,
                tries=release.tries,
                ms=(self._world.now_us() - release.since_us) // 1_000,
                said=release.confirmations,
            )
