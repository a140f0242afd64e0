"""Graceful shutdown: when a dispatcher told to end sends its clients away, breaks off what streams, and is gone.

The platform kills it at the earliest so long after it was told as the longest deadline lasts, three seconds at most,
and 0.7 s more. Counted back from there: streams are broken off well before, since in a rolling restart the next
dispatcher is told to end at about the moment at which this one is killed, and whoever asks it for a stream's rest
finds nobody; kept connections are served until shortly before that, since the one before may not be back.

Where clients do not ask for a stream's rest, to cut one off loses its request. There streams run to their end or to
the kill, which costs nothing for what came early enough; so nothing new is taken from that moment on, as what came
later and is unanswered at the kill is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

KILL_AFTER_MOST_US = 3_000_000  # the longest deadline, as far as it counts
KILL_MORE_US = 700_000  # and so much more; for so long new requests are owed service in any case
LEAVE_BEFORE_US = 1_100_000  # the kill, streams are broken off: 0.3 s before it, a third of what came then failed
CLOSE_BEFORE_US = 1_500_000  # the kill, idle connections are closed: time for what comes on them to be answered
LAST_WORDS_US = 150_000  # for the answers of what was left
LET_GO_US = 900_000  # for its releases, as long as any is owed: the rule gives 0.6 s, and the kill is 0.2 s away then
STREAMS_US = 60_000_000  # for streams that run to their end: the kill comes long before


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Times of one planned end."""

    close_idle_us: int  # idle connections are closed, no new ones taken
    refuse_us: int  # a request that still comes is refused
    stop_us: int  # what is unanswered is answered; where clients ask for the rest, what streams is broken off
    exit_us: int  # the process ends at the latest, but for what is still to be let go of
    release_deadline_us: int  # then in any case


def shutdown_times(signalled_us: int, longest_deadline_us: int, resume: bool) -> ShutdownTimes:
    """The times for a dispatcher whose longest deadline is `longest_us`; `resume`: clients ask for a stream's rest."""
    kill_us = signalled_us + min(longest_deadline_us, KILL_AFTER_MOST_US) + KILL_MORE_US
    early_us = signalled_us + KILL_MORE_US
    close_us = max(kill_us - CLOSE_BEFORE_US, early_us) if resume else early_us
    leave_us = max(kill_us - LEAVE_BEFORE_US, close_us)
    if not resume:
        return ShutdownTimes(close_us, early_us, leave_us, signalled_us + STREAMS_US, signalled_us + STREAMS_US)
    return ShutdownTimes(close_us, leave_us, leave_us, leave_us + LAST_WORDS_US, leave_us + LET_GO_US)
