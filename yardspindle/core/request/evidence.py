"""What is known of how far an attempt has come, in kinds that are not mixed up.

Bytes that were written here lie in a buffer of this machine, of one on the way, or of a server that does not run: a
machine that was cut off, a process that was stopped and a connection that fell silent all take them without an error.
So *written* proves only that the attempt may run. That a running server has it shows in a word of a server alone: an
answer, or what another server says of it. Obligations that have a time (what is held for a request is used or let go
of) run on until there is such a word.
"""

from __future__ import annotations

from enum import IntEnum

from yardspindle.interface import Status

PROVES_ACCEPTED = frozenset({Status.READ, Status.SERVED, Status.FULL, Status.ERROR})
"""Ends of an attempt that only a server's own word brings: by then a running server had it."""


class Evidence(IntEnum):
    """How far an attempt has come for certain; each kind includes those before it."""

    DECIDED = 0  # nothing of it need have left this program
    WRITTEN = 1  # its last byte was written here: it may have run, or may yet
    ACCEPTED = 2  # a running server has it
