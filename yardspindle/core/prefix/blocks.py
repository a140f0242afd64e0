"""A prompt as blocks of tokens with chained hashes, as vLLM's prefix cache cuts it.

A block is a full run of `block_size` tokens; its hash covers the block and, through its parent's hash, all before it,
so that one hash names a whole beginning of a prompt. What is left over at the end is no block and is never kept. The
hash is our own (xxh3, 64 bits): engines salt theirs by process, and their events carry the tokens themselves.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Sequence

import xxhash

NO_PARENT = 0  # what the first block of a prompt hangs on
TOKEN_BYTES = 4
assert array("I").itemsize == TOKEN_BYTES


def pack_tokens(tokens: Sequence[int]) -> bytes:
    """Tokens as bytes to be hashed. Raises OverflowError for one that is no token."""
    numbers = array("I", tokens)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers.tobytes()


def block_hashes(packed: bytes, block_size: int, parent: int = NO_PARENT) -> list[int]:
    """The hashes of all full blocks, in order; `packed` as little-endian numbers of four bytes."""
    step = block_size * TOKEN_BYTES
    hashes: list[int] = []
    for at in range(0, len(packed) - step + 1, step):
        parent = xxhash.xxh3_64_intdigest(packed[at : at + step], parent)
        hashes.append(parent)
    return hashes
