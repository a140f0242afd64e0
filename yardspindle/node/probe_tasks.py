"""Probes of silent model hosts, each in a task of its own: a release whose answer shows that the host runs again.

A host that was paused reads, on its return, the calls that were given up meanwhile, and may hold something for requests
that ended long ago. The core (`UnreadCalls`) decides which hosts are probed and what follows from an answer.
"""

from __future__ import annotations

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.unread_calls import Probe
from yardspindle.node import log
from yardspindle.node.host_client import CallCancelled
from yardspindle.node.host_tasks import HostTasks
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import DescriptorsExhausted


class ProbeTasks(HostTasks):
    """Sends the probes that the core asks for."""

    def start(self, probe: Probe, server: Server) -> None:
        """Send a probe."""
        self._world.spawn("probe", self._probe, probe, server)

    def _probe(self, probe: Probe, server: Server) -> None:
        """The task of a probe: send it, and report to the core whether the host answered."""
        answered: bool | None = False
        sent_us = 0

        def late_headers() -> http1.Headers:
            nonlocal sent_us
            if not self._core.may_send_probe(probe):
                raise CallCancelled
            sent_us = self._world.now_us()
            return []

        def on_first_byte() -> None:  # a spoilt answer comes from a running host, too
            nonlocal answered
            answered = True

        request_id = self._ids[probe.request]
        try:
            with self._world.deadline(probe.started_us + probe.wait_us):
                self._hosts.probe(server, request_id, late_headers, on_first_byte, probe.new_connection)
        except (CallCancelled, DescriptorsExhausted):
            answered = None
        except DeadlineExceeded:
            pass
        finally:
            self._log(probe, server, answered)
            self._perform(self._core.probe_settled(self._world.now_us(), probe, answered, sent_us))
            self._forget(probe.request)

    def _log(self, probe: Probe, server: Server, answered: bool | None) -> None:
        """Log the first failure of a host's probes, and the first answer after failures."""
        if answered is None or answered is probe.first:
            return
        log.write(
            "host answers again" if answered else "host silent",
            at=server.name,
            unread=len(self._core.unread_calls),  # requests with calls that this or another host may not have read
            ms=(self._world.now_us() - probe.started_us) // 1_000,
        )
