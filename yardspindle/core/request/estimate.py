"""How many tokens a prompt has, before any engine has counted it.

A tokenizer for every model would be exact and slow; the router needs the size only to weigh reads. The estimate
is bytes times tokens for each byte, learned from the `usage` that engines report, for each kind of text (tenant
and class), since languages and templates differ. A kind with little evidence leans on what all texts showed.
"""

from __future__ import annotations

from collections import OrderedDict

BYTES_PER_TOKEN_START = 4.0  # the usual figure for English in byte-pair vocabularies
PRIOR_BYTES = 20_000.0  # evidence at which a kind's own ratio weighs as much as the common one
MEMORY_BYTES = 2_000_000.0  # older evidence fades so that at most about this much counts
KINDS_MOST = 4_096  # kinds remembered; the one longest unused goes first
TOKENS_PER_BYTE_MOST = 4.0  # a report beyond it is no count of this text: it would spoil the mean


class _Ratio:
    __slots__ = ("tokens", "size")

    def __init__(self, tokens: float, size: float) -> None:
        self.tokens, self.size = tokens, size

    def learn(self, tokens: float, size: float) -> None:
        fade = min(1.0, MEMORY_BYTES / (self.size + size))
        self.tokens, self.size = self.tokens * fade + tokens, self.size * fade + size


class TokenEstimate:
    """Tokens of a prompt from its bytes."""

    def __init__(self) -> None:
        """Start with the usual figure."""
        self._all = _Ratio(PRIOR_BYTES / BYTES_PER_TOKEN_START, PRIOR_BYTES)
        self._kinds: OrderedDict[str, _Ratio] = OrderedDict()

    def tokens(self, kind: str, size: int) -> float:
        """Tokens expected in `size` bytes of this kind of text; at least 1."""
        common = self._all.tokens / self._all.size
        own = self._kinds.get(kind)
        if own is None:
            return max(1.0, size * common)
        ratio = (own.tokens + common * PRIOR_BYTES) / (own.size + PRIOR_BYTES)
        return max(1.0, size * ratio)

    def learn(self, kind: str, size: int, tokens: int) -> None:
        """An engine counted `tokens` in `size` bytes; impossible reports are passed over."""
        if size <= 0 or not 0 < tokens <= TOKENS_PER_BYTE_MOST * size:
            return
        self._all.learn(tokens, size)
        own = self._kinds.pop(kind, None) or _Ratio(0.0, 0.0)
        own.learn(tokens, size)
        self._kinds[kind] = own
        while len(self._kinds) > KINDS_MOST:
            self._kinds.popitem(last=False)
