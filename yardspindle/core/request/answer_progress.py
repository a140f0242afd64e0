"""Tells a streamed answer that arrives slowly from one of which nothing arrives any more but framing without end.

Bytes of a host are no evidence that it goes on with its answer. Its content is, and so is the least framing that has to
come before more of it: that of a slow host may take as long as it needs. A longer size line, or trailers, may be
written for good, while the client waits.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardspindle.core.request import timeouts


@dataclass(slots=True)
class AnswerProgress:
    """What has arrived of one streamed answer; times in microseconds."""

    content_us: int  # when content last arrived, or the answer began
    content_bytes: int = 0
    plain_framing: bool = True  # nothing but the least framing has arrived since

    def received(self, now_us: int, content_bytes: int, plain_framing: bool) -> None:
        """Record bytes that have arrived; `content_bytes`: of the answer's content, since its begin."""
        if content_bytes > self.content_bytes:
            self.content_us = now_us
        self.content_bytes, self.plain_framing = content_bytes, plain_framing

    def is_overdue(self, now_us: int, awaited_since_us: int) -> bool:
        """Whether nothing but needless framing has arrived for too long, while content was awaited."""
        due_us = max(self.content_us, awaited_since_us) + timeouts.STREAM_IDLE_US
        return not self.plain_framing and now_us >= due_us
