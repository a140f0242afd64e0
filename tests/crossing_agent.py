"""The agent of discovery for crossings."""

from __future__ import annotations

import json
import socket
from time import monotonic

from tests.crossing_messages import plain, read_message
from tests.crossing_parties import HERE, Host, Party, Wire


class AgentCall(Party):
    """A connection to an agent. The whole list is answered at once, a watch when there is news or its time is up."""

    def __init__(self, agent: Agent, sock: socket.socket) -> None:
        self.agent, self.index, self.until = agent, -1, 0.0
        self.open = False  # a call waits for its answer
        super().__init__(agent.stage, sock)

    def came(self) -> None:
        message, size = read_message(self.got)
        if message is None or self.end:
            self.open = self.open and not self.end
            return
        self.got = self.got[size:]
        target = message.start.split()[1]
        query = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&") if part)
        self.index, self.until = int(query.get(b"index", -1)), monotonic() + int(query.get(b"wait", 0)) / 1_000
        self.open = True
        self.agent.asked += 1
        self.due()

    def due(self) -> None:
        """Answer if it is time to."""
        if self.open and not self.agent.silent and (self.index < self.agent.revision or monotonic() >= self.until):
            self.open = False
            self.send(plain(200, self.agent.listed()))


class Agent:
    """Discovery on the dispatcher's own machine."""

    def __init__(self, stage: Wire, hosts: list[Host]) -> None:
        self.stage, self.hosts, self.revision, self.silent, self.asked = stage, hosts, 1, False, 0
        self.listener = socket.create_server((HERE, 0), backlog=256)
        self.address = f"{HERE}:{self.listener.getsockname()[1]}"
        self.calls: list[AgentCall] = []
        stage.watch(self.listener, lambda: self.calls.append(AgentCall(self, self.listener.accept()[0])))

    def listed(self, hosts: list[Host] | None = None) -> bytes:
        """The whole list."""
        return json.dumps(
            {
                "revision": self.revision,
                "complete": True,
                "members": [host.entry() for host in (self.hosts if hosts is None else hosts)],
            }
        ).encode()

    def waiting(self) -> AgentCall | None:
        """A watch that knows the latest."""
        return next((call for call in self.calls if call.open and call.index == self.revision), None)

    def write(self, *hosts: Host) -> None:
        """Write a new list to the watch that waits."""
        with self.stage.news:
            self.stage.until("a watch", self.waiting)
            self.hosts, self.revision = list(hosts), self.revision + 1
            for host in hosts:
                if host.phase != "Ready":
                    self.stage.ledger.drains.setdefault(host.name, monotonic())
            for call in self.calls:
                call.due()

    def tell(self, *hosts: Host) -> None:
        """Write a new list, and wait for the next watch, which shows that it is in force."""
        self.write(*hosts)
        self.stage.until("a watch of the new list", self.waiting)
