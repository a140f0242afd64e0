"""Collects a request's body in blocks of one size, which the allocator can use again for other bodies.

Hundreds of bodies that grow side by side, each in one buffer, would be moved again and again and leave gaps that fit no
other one: several times the memory of their bytes.
"""

from __future__ import annotations

BLOCK_BYTES = 8_192


class BodyBuffer:
    """The bytes of a body that is being received."""

    __slots__ = ("_blocks", "_last", "_size")

    def __init__(self) -> None:
        """Start empty."""
        self._blocks: list[bytes] = []
        self._last = bytearray()  # less than a block; many small pieces are joined here
        self._size = 0

    def __len__(self) -> int:
        """The number of bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes received."""
        self._size += len(data)
        self._last += data
        while len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last[:BLOCK_BYTES]))
            del self._last[:BLOCK_BYTES]

    def take(self) -> bytes:
        """Return all bytes and start empty again."""
        body = b"".join([*self._blocks, self._last])
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks.clear()
        self._last.clear()
        self._size = 0
