"""Evidence of how far an attempt (one send of a request's stage to one server) has progressed.

Written bytes may sit in a buffer of this machine, of the network, or of a server that is not running: a partitioned
machine, a paused process and a dead connection all accept them without an error. So *written* proves only that the
attempt may run. Only a server's message proves that a running server has it: an answer, or what another server reports
of it. The time limit within which states and places held for a request must be used or released runs until there is
such a message.
"""

from __future__ import annotations

from enum import IntEnum

from yardspindle.interface import Status

PROVES_ACCEPTED = frozenset({Status.READ, Status.SERVED, Status.FULL, Status.ERROR})
"""Ends of an attempt that only a server's answer can bring: a running server had it."""


class Evidence(IntEnum):
    """How far an attempt has certainly progressed; each level includes those before it."""

    DECIDED = 0  # it may not have left this process
    WRITTEN = 1  # its last byte was written: it may have run, or may run later
    ACCEPTED = 2  # a running server has it
