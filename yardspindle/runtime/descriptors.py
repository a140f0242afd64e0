"""Gives operations that must not fail the next file descriptor that becomes free, ahead of all others.

While a process has no free descriptor, many tasks wait for one: connections to hosts, clients to accept. An operation
that is rare but essential, such as reading a new configuration, could lose to them for as long as the shortage lasts.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator


class DescriptorPriority:
    """Counts the essential operations that wait for a descriptor; while there are any, no other one takes one."""

    def __init__(self) -> None:
        """Nothing waits."""
        self._waiting = 0

    @property
    def claimed(self) -> bool:
        """Whether an essential operation waits: ordinary ones then leave a free descriptor to it."""
        return self._waiting > 0

    @contextlib.contextmanager
    def claim(self) -> Iterator[None]:
        """Claim the next free descriptor for as long as the block waits."""
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1
