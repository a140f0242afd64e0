"""Splits a prompt's tokens into blocks with chained hashes, as vLLM's prefix cache does.

A block is a full run of `block_size` tokens. Its hash covers the block and, through its parent's hash, all blocks
before it, so one hash identifies a whole prefix. A partial block at the end is never cached and has no hash. The hash
is the router's own (xxh3, 64 bits): engines' hashes are salted and differ from process to process, so they cannot be
compared. Engines' cache events carry the tokens, from which the router computes its hash.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Sequence

import xxhash

NO_PARENT = 0  # the parent hash of a prompt's first block
TOKEN_BYTES = 4
assert array("I").itemsize == TOKEN_BYTES


def pack_tokens(tokens: Sequence[int]) -> bytes:
    """Packs tokens into little-endian bytes for hashing. Raises OverflowError for a number out of range."""
    numbers = array("I", tokens)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers.tobytes()


def block_hashes(packed: bytes, block_size: int, parent: int = NO_PARENT) -> list[int]:
    """The hashes of all full blocks, in order. `packed` holds each token as four little-endian bytes."""
    step = block_size * TOKEN_BYTES
    hashes: list[int] = []
    for at in range(0, len(packed) - step + 1, step):
        parent = xxhash.xxh3_64_intdigest(packed[at : at + step], parent)  # the parent's hash is the seed
        hashes.append(parent)
    return hashes
