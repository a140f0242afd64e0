"""Estimates the number of tokens of a prompt before an engine has counted them.

A tokenizer for every model would be exact but slow; the router needs the size only to weigh reads (prefills). The
estimate is the size in bytes times a ratio learned from the `usage` that engines report. Each kind of text (tenant and
class) has its own ratio, since languages and templates differ; a kind with little evidence is weighted towards the
overall ratio.
"""

from __future__ import annotations

from collections import OrderedDict

INITIAL_BYTES_PER_TOKEN = 4.0  # the usual figure for English in byte-pair vocabularies
PRIOR_BYTES = 20_000.0  # evidence at which a kind's own ratio weighs as much as the overall one
MAX_EVIDENCE_BYTES = 2_000_000.0  # older evidence decays so that about this much counts at most
MAX_KINDS = 4_096  # kinds of text remembered; the least recently learned is evicted first
MAX_TOKENS_PER_BYTE = 4.0  # a higher count cannot be of this text and would distort the mean


class _Ratio:
    """Tokens counted in a number of bytes."""

    __slots__ = ("tokens", "size")

    def __init__(self, tokens: float, size: float) -> None:
        self.tokens, self.size = tokens, size

    def learn(self, tokens: float, size: float) -> None:
        decay = min(1.0, MAX_EVIDENCE_BYTES / (self.size + size))
        self.tokens, self.size = self.tokens * decay + tokens, self.size * decay + size


class TokenEstimate:
    """Estimates a prompt's tokens from its size in bytes."""

    def __init__(self) -> None:
        """Start with the ratio usual for English."""
        self._all = _Ratio(PRIOR_BYTES / INITIAL_BYTES_PER_TOKEN, PRIOR_BYTES)
        self._kinds: OrderedDict[str, _Ratio] = OrderedDict()

    def tokens(self, kind: str, size: int) -> float:
        """Tokens expected in `size` bytes of this kind of text; at least 1."""
        overall = self._all.tokens / self._all.size
        own = self._kinds.get(kind)
        if own is None:
            return max(1.0, size * overall)
        ratio = (own.tokens + overall * PRIOR_BYTES) / (own.size + PRIOR_BYTES)
        return max(1.0, size * ratio)

    def learn(self, kind: str, size: int, tokens: int) -> None:
        """Learn that an engine counted `tokens` in `size` bytes; impossible counts are ignored."""
        if size <= 0 or not 0 < tokens <= MAX_TOKENS_PER_BYTE * size:
            return
        self._all.learn(tokens, size)
        own = self._kinds.pop(kind, None) or _Ratio(0.0, 0.0)
        own.learn(tokens, size)
        self._kinds[kind] = own
        while len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
