"""The platform's list of model hosts, as discovery tells it: kept whole, never emptied by a bad answer.

An answer is the whole list or the entries that changed since the version asked for. It is taken whole or not at all.
Hosts become numbers for the policy by a hash of their id, not by the order in which they came: readers are ranked by
that number, and all dispatchers must rank alike.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace

from yardspindle import interface as i
from yardspindle.core.hosts.address import ipv4_address
from yardspindle.core.hosts.directory import Server
from yardspindle.core.request import timeouts

PHASES = {"Ready": i.State.SERVING, "Terminating": i.State.DRAINING, "Gone": i.State.GONE}
NUMBER_BYTES = 5
MAY_LAG = "older than the list in force, just after a move"
Whole = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Member(Struct, frozen=True):
    """A model host as discovery names it; fields that are not known are passed over."""

    id: Annotated[str, Meta(min_length=1, max_length=1_024)]
    host_port: str = "0.0.0.0:0"  # only an entry that is gone may come without
    locality: str = ""
    flavor: str = ""
    cell: Annotated[int, Meta(ge=-(1 << 53), le=1 << 53)] = 0
    phase: str = "Ready"
    size: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0, le=1e14)] = 0.0  # the year 5138


class ListAnswer(Struct, frozen=True):
    """What discovery answers."""

    revision: Whole
    complete: bool
    members: tuple[Member, ...] = ()


def parse_answer(data: bytes) -> ListAnswer:
    """An answer's body. Raises ValueError, for the whole of it, where one entry is wrong."""
    try:
        answer = msgspec.json.decode(data, type=ListAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:  # the last: nested without end
        raise ValueError(str(error)) from None
    validate(answer)
    return answer


def validate(answer: ListAnswer) -> None:
    """What the types do not say. Raises ValueError. Among changes a host may come again: the later entry holds."""
    seen: set[str] = set()
    for member in answer.members:
        if answer.complete and member.id in seen:
            raise ValueError(f"members: {member.id[:40]!r} comes twice")
        seen.add(member.id)
        if member.phase != "Gone":
            try:
                ipv4_address(member.host_port)
            except ValueError as error:
                raise ValueError(f"members: {member.id[:40]!r}: {error}") from None


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
        self.rejection = ""  # why the last answer was not taken, though it could be read
        self._moved_us: int | None = None  # when discovery was last moved
        self._ending: set[str] = set()  # hosts that a list which is not believed yet says to drain
        self._empty_us: int | None = None  # since when every whole list holds no host

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

    def restore(self, answer: ListAnswer) -> None:
        """What this dispatcher last held, told at its start."""
        self.revision = answer.revision
        self._members = {m.id: m for m in answer.members if m.phase != "Gone"}

    def discovery_moved(self, now_us: int) -> None:
        """Discovery is asked at another address from now on: what it has there may lag behind what we were told."""
        self._moved_us, self._empty_us = now_us, None

    def apply(self, answer: ListAnswer, now_us: int = 0, requested_full: bool = False) -> bool:
        """An answer of discovery; whether anything changed. If it is not taken, `doubt` says why; the drains of one
        that may lag hold all the same.

        `anew`: it answers a call for the whole list that was the first on its connection, so it is no late answer to
        an older call.
        """
        self.rejection = self._doubt(answer, now_us, requested_full)
        if self.rejection:
            return self.rejection == MAY_LAG and self._drain(answer)
        before, told_anew = self._members, answer.revision < self.revision and not self.stale
        after = {} if answer.complete else dict(before)
        for member in answer.members:
            known = before.get(member.id)
            if member.phase == "Gone":
                after.pop(member.id, None)
            elif (
                told_anew and known is not None and known.phase != "Ready" and member.up_since_ms <= known.up_since_ms
            ):  # it may lag: its next list, or a start, ends the drain
                after[member.id] = replace(member, phase=known.phase)
            else:
                after[member.id] = member
        first, self.stale, self.revision = self.stale, False, answer.revision
        self.started = [
            m
            for m in after.values()
            if m.up_since_ms and (m.id not in before or m.up_since_ms > before[m.id].up_since_ms)
        ]
        ending, self._ending, self._members = self._ending, set(), after
        for host in before.keys() - after.keys():
            if host in self._numbers:
                self._taken.discard(self._numbers.pop(host))
        return first or bool(ending) or after != before

    def _doubt(self, answer: ListAnswer, now_us: int, anew: bool) -> str:
        """Why an answer is not to be taken; nothing if it is.

        A lower revision is an old answer that came late, or discovery counts anew since a restart: it is that if the
        whole list, asked for anew, says so. Just after a move it may also be an agent that lags, behind what
        discovery told; a list that was only known at the start says nothing of that.

        A whole list with no host takes the service away, and an answer that lost its entries looks like one: it holds
        if it is newer than the list in force and every whole list asked for anew says so for EMPTY_US. A discovery
        that restarted and has not been filled yet counts from below, and is not believed.
        """
        older = answer.revision < self.revision
        empty = answer.complete and all(member.phase == "Gone" for member in answer.members)
        if not empty:
            self._empty_us = None
        elif older or answer.revision == self.revision or not anew:
            return "no host, and no newer list that was asked for anew"
        else:
            self._empty_us = now_us if self._empty_us is None else self._empty_us
            return "no host" if now_us - self._empty_us < timeouts.EMPTY_LIST_US else ""
        if older and not (anew and answer.complete):
            return "older than the list in force"
        if (
            older
            and not self.stale
            and self._moved_us is not None
            and now_us - self._moved_us < timeouts.AGENT_MOVE_WAIT_US
        ):
            return MAY_LAG
        return ""

    def _drain(self, answer: ListAnswer) -> bool:
        """Take over drains and ends alone, as drains, until a list is taken; whether they are others than before.

        They are told once they are written, whether the agent lags or counts from below. An older drain than a host's
        last start is over, and a host that started after all that are listed may not have come there yet.
        """
        told = {member.id: member for member in answer.members}
        newest = max(member.up_since_ms for member in answer.members)
        drained = set()
        for host in self._members.values():
            there = told.get(host.id)
            ends = (
                there.phase != "Ready" and there.up_since_ms >= host.up_since_ms
                if there is not None
                else host.up_since_ms <= newest
            )
            if ends and host.phase == "Ready":
                drained.add(host.id)
        before, self._ending, self.started = self._ending, drained, []
        return drained != before

    def _state(self, m: Member) -> i.State:
        return i.State.DRAINING if m.id in self._ending else PHASES.get(m.phase, i.State.DRAINING)

    def members(self, offset_us: int = 0) -> i.Members:
        """The list as an event for the policy."""
        entries = tuple(
            i.Entry(
                self.number(m.id),
                m.locality,
                m.flavor,
                m.cell,
                self._state(m),
                m.size,
                round(m.up_since_ms * 1_000) + offset_us if m.up_since_ms else 0,
            )
            for m in self._members.values()
        )
        return i.Members(i.ListKind.STALE if self.stale else i.ListKind.COMPLETE, self.revision, entries)

    def servers(self) -> list[Server]:
        """The list as the edge's core needs it."""
        return [
            Server(
                self.number(m.id),
                m.id,
                *ipv4_address(m.host_port),
                self._roles[m.flavor],
                self._state(m),
                True,
                up_since_ms=m.up_since_ms,
                zone=m.locality,
                cell=m.cell,
            )
            for m in self._members.values()
            if m.flavor in self._roles
        ]
