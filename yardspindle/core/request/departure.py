"""When a dispatcher that was told to end sends its clients away, breaks off what streams, and is gone.

The platform kills it at the earliest so long after it was told as the longest deadline lasts, three seconds at most,
and 0.7 s more. Counted back from there: streams are broken off well before, since in a rolling restart the next
dispatcher is told to end at about the moment at which this one is killed, and whoever asks it for a stream's rest
finds nobody; kept connections are served until shortly before that, since the one before may not be back.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_AFTER_MOST_US = 3_000_000  # the longest deadline, as far as it counts
KILL_MORE_US = 700_000  # and so much more; for so long new requests are owed service in any case
LEAVE_BEFORE_US = 1_100_000  # the kill, streams are broken off: 0.3 s before it, a third of what came then failed
CLOSE_BEFORE_US = 1_500_000  # the kill, idle connections are closed: time for what comes on them to be answered
LAST_WORDS_US = 150_000  # for the answers and releases of what was left


@dataclass(frozen=True, slots=True)
class Departure:
    """Times of one planned end."""

    close_us: int  # idle connections are closed, no new ones taken
    leave_us: int  # what is unanswered is answered, what streams is broken off
    gone_us: int  # the process ends at the latest


def departure(told_us: int, longest_us: int) -> Departure:
    """The times for a dispatcher whose longest deadline is `longest_us`."""
    kill_us = told_us + min(longest_us, KILL_AFTER_MOST_US) + KILL_MORE_US
    close_us = max(kill_us - CLOSE_BEFORE_US, told_us + KILL_MORE_US)
    leave_us = max(kill_us - LEAVE_BEFORE_US, close_us)
    return Departure(close_us, leave_us, leave_us + LAST_WORDS_US)
