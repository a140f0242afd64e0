"""The platform's list of model hosts, as discovery tells it: kept whole, never emptied by a bad answer.

An answer is the whole list or the entries that changed since the version asked for. Hosts become numbers for the
policy by a hash of their id, not by the order in which they came: readers are ranked by that number, and all
dispatchers must rank alike.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server

PHASES = {"Ready": i.State.SERVING, "Terminating": i.State.DRAINING, "Gone": i.State.GONE}
NUMBER_BYTES = 5
Whole = Annotated[int, Meta(ge=0)]


class Member(Struct, frozen=True):
    """A model host as discovery names it; fields that are not known are passed over."""

    id: Annotated[str, Meta(min_length=1)]
    host_port: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")] = "0.0.0.0:0"
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "Ready"
    size: float = 1.0
    up_since_ms: float = 0.0


class ListAnswer(Struct, frozen=True):
    """What discovery answers."""

    revision: Whole
    complete: bool
    members: tuple[Member, ...] = ()


class HostList:
    """The list in force."""

    def __init__(self, roles: Mapping[str, i.Role]) -> None:
        """`roles` by kind; hosts of other kinds are passed over."""
        self._roles = roles
        self._members: dict[str, Member] = {}
        self._numbers: dict[str, int] = {}
        self._taken: set[int] = {0}
        self.revision = 0
        self.stale = True  # nothing but what was known at the start
        self.started: list[Member] = []  # hosts whose start the last answer told

    def __len__(self) -> int:
        """Hosts listed."""
        return len(self._members)

    def number(self, host: str) -> int:
        """A host's number: the same at every dispatcher unless two ids collide here."""
        if host not in self._numbers:
            number, salt = 0, 0
            while number in self._taken:
                text = host if not salt else f"{host} {salt}"
                number = int.from_bytes(blake2b(text.encode(), digest_size=NUMBER_BYTES).digest())
                salt += 1
            self._numbers[host] = number
            self._taken.add(number)
        return self._numbers[host]

    def known(self, answer: ListAnswer) -> None:
        """What this dispatcher last held, told at its start."""
        self.revision = answer.revision
        self._members = {m.id: m for m in answer.members if m.phase != "Gone"}

    def take(self, answer: ListAnswer) -> bool:
        """An answer of discovery; whether anything changed. One that is older than the list, or empty, is not taken."""
        if answer.revision < self.revision or (answer.complete and not answer.members):
            return False
        before = self._members
        after = {} if answer.complete else dict(before)
        for member in answer.members:
            if member.phase == "Gone":
                after.pop(member.id, None)
            else:
                after[member.id] = member
        first, self.stale, self.revision = self.stale, False, answer.revision
        self.started = [m for m in after.values() if m.up_since_ms and (
            m.id not in before or m.up_since_ms > before[m.id].up_since_ms)]
        self._members = after
        for host in before.keys() - after.keys():
            if host in self._numbers:
                self._taken.discard(self._numbers.pop(host))
        return first or after != before

    def members(self, offset_us: int = 0) -> i.Members:
        """The list as an event for the policy."""
        entries = tuple(
            i.Entry(self.number(m.id), m.locality, m.flavor, m.cell, PHASES.get(m.phase, i.State.DRAINING), m.size,
                    round(m.up_since_ms * 1_000) + offset_us if m.up_since_ms else 0)
            for m in self._members.values())
        return i.Members(i.ListKind.STALE if self.stale else i.ListKind.COMPLETE, self.revision, entries)

    def servers(self) -> list[Server]:
        """The list as the edge's core needs it."""
        return [Server(self.number(m.id), m.id, m.host_port.rpartition(":")[0], int(m.host_port.rpartition(":")[2]),
                       self._roles[m.flavor], PHASES.get(m.phase, i.State.DRAINING), True,
                       up_since_ms=m.up_since_ms, zone=m.locality, cell=m.cell)
                for m in self._members.values() if m.flavor in self._roles]
