"""The list of engine hosts, from the platform's discovery agent. Malformed or implausible answers do not change it.

An answer holds the full list, or the entries that changed since the requested revision. It is applied as a whole or
not at all. The policy identifies hosts by a number that is a hash of their id, independent of the order in which they
arrive: readers are ranked by that number, and all dispatchers must rank them alike.
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
# Reason to reject an answer whose drains are applied nevertheless (`HostList._drain`).
MAY_LAG = "older than the list in force, just after discovery moved to another address"
Revision = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Member(Struct, frozen=True):
    """A host in discovery's answer; unknown fields are ignored.

    `locality` is its zone, `flavor` its kind of machine, `size` its capacity relative to other hosts.
    """

    id: Annotated[str, Meta(min_length=1, max_length=1_024)]
    host_port: str = "0.0.0.0:0"  # only an entry in phase Gone may leave it out
    locality: str = ""
    flavor: str = ""
    cell: Annotated[int, Meta(ge=-(1 << 53), le=1 << 53)] = 0
    phase: str = "Ready"
    size: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0, le=1e14)] = 0.0  # the year 5138


class ListAnswer(Struct, frozen=True):
    """An answer of discovery."""

    revision: Revision
    complete: bool
    members: tuple[Member, ...] = ()


def parse_answer(data: bytes) -> ListAnswer:
    """Parses an answer's body. Raises ValueError if any entry is invalid."""
    try:
        answer = msgspec.json.decode(data, type=ListAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:  # RecursionError: nested too deeply
        raise ValueError(str(error)) from None
    validate(answer)
    return answer


def validate(answer: ListAnswer) -> None:
    """Checks what the types do not. Raises ValueError. Changes may list a host twice: the later entry counts."""
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
    """The host list in force."""

    def __init__(self, roles: Mapping[str, i.Role]) -> None:
        """`roles` by kind of host; hosts of other kinds are ignored."""
        self._roles = roles
        self._members: dict[str, Member] = {}
        self._numbers: dict[str, int] = {}
        self._used_numbers: set[int] = {0}  # 0 is no valid number: `number` looks for an unused one from it
        self.revision = 0
        self.stale = True  # only the list restored at the start is known
        self.started: list[Member] = []  # hosts whose start was reported by the last answer
        self.rejection = ""  # why the last well-formed answer was rejected; empty if it was applied
        self._moved_us: int | None = None  # when discovery last moved to another address
        self._draining_early: set[str] = set()  # hosts that drain by an answer of discovery that was not applied
        self._empty_since_us: int | None = None  # since when every full list has been empty

    def __len__(self) -> int:
        """The number of hosts listed."""
        return len(self._members)

    def number(self, host: str) -> int:
        """A host's number: the same at every dispatcher, unless two listed ids have the same hash.

        Then the order in which they arrived decides.
        """
        if host not in self._numbers:
            number, salt = 0, 0
            while number in self._used_numbers:
                text = host if not salt else f"{host} {salt}"
                number = int.from_bytes(blake2b(text.encode(), digest_size=NUMBER_BYTES).digest())
                salt += 1
            self._numbers[host] = number
            self._used_numbers.add(number)
        return self._numbers[host]

    def restore(self, answer: ListAnswer) -> None:
        """Sets the list to use until discovery answers: the configured one, which was last in force before."""
        self.revision = answer.revision
        self._members = {member.id: member for member in answer.members if member.phase != "Gone"}

    def discovery_moved(self, now_us: int) -> None:
        """Discovery has moved to another address: the agent there may lag behind the list in force."""
        self._moved_us, self._empty_since_us = now_us, None

    def apply(self, answer: ListAnswer, now_us: int = 0, requested_full: bool = False) -> bool:
        """Applies an answer of discovery. Returns whether anything changed.

        If the answer is rejected, `rejection` holds the reason; if that is MAY_LAG, its drains are applied anyway.
        `requested_full`: it answers a request for the full list that was the first on its connection, so it cannot be
        a late answer to an earlier request.
        """
        self.rejection = self._reason_to_reject(answer, now_us, requested_full)
        if self.rejection:
            return self.rejection == MAY_LAG and self._drain(answer)
        before, lower_revision = self._members, answer.revision < self.revision and not self.stale
        after = {} if answer.complete else dict(before)
        for member in answer.members:
            known = before.get(member.id)
            if member.phase == "Gone":
                after.pop(member.id, None)
            elif (
                lower_revision
                and known is not None
                and known.phase != "Ready"
                and member.up_since_ms <= known.up_since_ms
            ):  # an answer with a lower revision may lag, so only a later one, or a later start, ends the drain
                after[member.id] = replace(member, phase=known.phase)
            else:
                after[member.id] = member
        was_stale, self.stale, self.revision = self.stale, False, answer.revision
        self.started = [
            member
            for member in after.values()
            if member.up_since_ms and (member.id not in before or member.up_since_ms > before[member.id].up_since_ms)
        ]
        drained_early, self._draining_early, self._members = self._draining_early, set(), after
        for host in before.keys() - after.keys():
            if host in self._numbers:
                self._used_numbers.discard(self._numbers.pop(host))
        return was_stale or bool(drained_early) or after != before

    def _reason_to_reject(self, answer: ListAnswer, now_us: int, requested_full: bool) -> str:
        """The reason to reject an answer, or an empty string.

        A lower revision means that the answer is late, or that discovery restarted and counts its revisions from the
        beginning. A full list requested on a new connection cannot be late, so it is accepted. The exception is the
        time just after discovery moved to another address: the agent there may lag behind the list in force. If that
        list was only restored at the start, it may itself be outdated, so the exception does not apply.

        Applying an empty full list leaves no host to send requests to, and an answer that lost its entries looks the
        same. It is accepted if it is newer than the list in force and every full list requested during EMPTY_LIST_US
        was empty. Discovery that restarted and is not filled yet has a lower revision, so its empty list is rejected.
        """
        older = answer.revision < self.revision
        empty = answer.complete and all(member.phase == "Gone" for member in answer.members)
        if not empty:
            self._empty_since_us = None
        elif older or answer.revision == self.revision or not requested_full:
            return "lists no host, and is not a requested full list with a higher revision"
        else:
            self._empty_since_us = now_us if self._empty_since_us is None else self._empty_since_us
            return "lists no host" if now_us - self._empty_since_us < timeouts.EMPTY_LIST_US else ""
        if older and not (requested_full and answer.complete):
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
        """Applies only the drains and removals of an answer, both as drains, until a list is applied.

        Returns whether they differ from before. They are valid whether the agent lags or restarted.
        A drain older than a host's last start is over. A host that is missing counts as removed, unless it started
        after all listed hosts: then the agent may not know it yet.
        """
        listed = {member.id: member for member in answer.members}
        newest = max(member.up_since_ms for member in answer.members)
        drained = set()
        for host in self._members.values():
            entry = listed.get(host.id)
            ends = (
                entry.phase != "Ready" and entry.up_since_ms >= host.up_since_ms
                if entry is not None
                else host.up_since_ms <= newest
            )
            if ends and host.phase == "Ready":
                drained.add(host.id)
        before, self._draining_early, self.started = self._draining_early, drained, []
        return drained != before

    def _state(self, member: Member) -> i.State:
        return i.State.DRAINING if member.id in self._draining_early else PHASES.get(member.phase, i.State.DRAINING)

    def members(self, offset_us: int = 0) -> i.Members:
        """The list as a policy event; `offset_us` is added to Unix time to get the policy's clock."""
        entries = tuple(
            i.Entry(
                self.number(member.id),
                member.locality,
                member.flavor,
                member.cell,
                self._state(member),
                member.size,
                round(member.up_since_ms * 1_000) + offset_us if member.up_since_ms else 0,
            )
            for member in self._members.values()
        )
        return i.Members(i.ListKind.STALE if self.stale else i.ListKind.COMPLETE, self.revision, entries)

    def servers(self) -> list[Server]:
        """The list with addresses and roles, without hosts of unknown kinds."""
        return [
            Server(
                self.number(member.id),
                member.id,
                *ipv4_address(member.host_port),
                self._roles[member.flavor],
                self._state(member),
                True,
                up_since_ms=member.up_since_ms,
                zone=member.locality,
                cell=member.cell,
            )
            for member in self._members.values()
            if member.flavor in self._roles
        ]
