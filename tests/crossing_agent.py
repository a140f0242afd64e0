"""The discovery agent of the crossing tests."""

from __future__ import annotations

import json
import socket
from time import monotonic

from tests.crossing_messages import plain, read_message
from tests.crossing_parties import LOOPBACK_ADDRESS, Host, Party, SocketLoop


class AgentCall(Party):
    """A connection to an agent.

    A call for the whole list is answered at once; a watch when the list has changed or its wait time is over.
    """

    def __init__(self, agent: Agent, sock: socket.socket) -> None:
        self.agent, self.index, self.deadline = agent, -1, 0.0
        self.pending = False  # a call has not been answered yet
        super().__init__(agent.stage, sock)

    def on_data(self) -> None:
        message, size = read_message(self.buffer)
        if message is None or self.end:
            self.pending = self.pending and not self.end
            return
        self.buffer = self.buffer[size:]
        target = message.start.split()[1]
        query = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&") if part)
        self.index, self.deadline = int(query.get(b"index", -1)), monotonic() + int(query.get(b"wait", 0)) / 1_000
        self.pending = True
        self.agent.call_count += 1
        self.answer_if_due()

    def answer_if_due(self) -> None:
        """Answers the pending call if its list has changed or its wait time is over."""
        if (
            self.pending
            and not self.agent.silent
            and (self.index < self.agent.revision or monotonic() >= self.deadline)
        ):
            self.pending = False
            self.send(plain(200, self.agent.list_body()))


class Agent:
    """The discovery agent on the dispatcher's machine; while `silent` it answers nothing."""

    def __init__(self, stage: SocketLoop, hosts: list[Host]) -> None:
        self.stage, self.hosts, self.revision, self.silent, self.call_count = stage, hosts, 1, False, 0
        self.listener = socket.create_server((LOOPBACK_ADDRESS, 0), backlog=256)
        self.address = f"{LOOPBACK_ADDRESS}:{self.listener.getsockname()[1]}"
        self.calls: list[AgentCall] = []
        stage.watch(self.listener, lambda: self.calls.append(AgentCall(self, self.listener.accept()[0])))

    def list_body(self, hosts: list[Host] | None = None) -> bytes:
        """The whole list, as the body of an answer."""
        return json.dumps(
            {
                "revision": self.revision,
                "complete": True,
                "members": [host.entry() for host in (self.hosts if hosts is None else hosts)],
            }
        ).encode()

    def pending_watch(self) -> AgentCall | None:
        """A pending watch that knows the current revision."""
        return next((call for call in self.calls if call.pending and call.index == self.revision), None)

    def publish(self, *hosts: Host) -> None:
        """Publishes a new list to the pending watch."""
        with self.stage.changed:
            self.stage.wait_for("a watch", self.pending_watch)
            self.hosts, self.revision = list(hosts), self.revision + 1
            for host in hosts:
                if host.phase != "Ready":
                    self.stage.ledger.draining_since.setdefault(host.name, monotonic())
            for call in self.calls:
                call.answer_if_due()

    def publish_and_wait(self, *hosts: Host) -> None:
        """Publishes a new list and waits for the next watch, which shows that the program has applied it."""
        self.publish(*hosts)
        self.stage.wait_for("a watch of the new list", self.pending_watch)
