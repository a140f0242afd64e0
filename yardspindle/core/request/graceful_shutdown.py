"""Schedule of a dispatcher's graceful shutdown: when it closes connections, refuses requests, cuts streams and exits.

A dispatcher is a router process on the operators' platform. The platform kills the process no earlier than the longest
deadline (three seconds at most) plus 0.7 s after the signal. The times count back from there. Streams are cut well
before the kill: in a rolling restart the next dispatcher gets its signal at about the time of this kill, and a client
that resumes its stream at that dispatcher would find it shutting down. Idle connections are served until shortly before
the cut, since the dispatcher that was restarted before this one may not be ready yet.

Where clients do not resume streams, cutting one loses its request. There streams run to their end or to the kill, which
is late enough for requests that arrived before KILL_GRACE_US after the signal. Later ones need not be served and are
refused: one that is unanswered at the kill would be lost.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DEADLINE_US = 3_000_000  # the longest deadline of a request counts up to this
KILL_GRACE_US = 700_000  # from the longest deadline to the kill; so long after the signal new requests must be served
STOP_LEAD_US = 1_100_000  # streams are cut this long before the kill; with 0.3 s a third of the arriving requests fail
CLOSE_LEAD_US = 1_500_000  # idle connections close this long before the kill: time to answer their last requests
FINAL_ANSWERS_US = 150_000  # to send the remaining answers
RELEASES_US = 900_000  # from the cut, for pending releases: the rule allows 0.6 s; ends 0.2 s before the kill
STREAMS_US = 60_000_000  # for streams that run to their end; the kill comes long before


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Times of one graceful shutdown."""

    close_idle_us: int  # idle connections are closed, no new ones accepted
    refuse_us: int  # new requests are refused
    stop_us: int  # open requests are refused or failed unless they stream; where clients resume, streams are cut
    exit_us: int  # the process exits at the latest, unless releases are pending
    release_deadline_us: int  # then it exits in any case


def shutdown_times(signalled_us: int, longest_deadline_us: int, resume: bool) -> ShutdownTimes:
    """The times for a dispatcher signalled at `signalled_us`; `resume`: clients resume streams that are cut."""
    kill_us = signalled_us + min(longest_deadline_us, MAX_DEADLINE_US) + KILL_GRACE_US
    min_refuse_us = signalled_us + KILL_GRACE_US
    close_idle_us = max(kill_us - CLOSE_LEAD_US, min_refuse_us) if resume else min_refuse_us
    stop_us = max(kill_us - STOP_LEAD_US, close_idle_us)
    if not resume:
        return ShutdownTimes(
            close_idle_us, min_refuse_us, stop_us, signalled_us + STREAMS_US, signalled_us + STREAMS_US
        )
    return ShutdownTimes(close_idle_us, stop_us, stop_us, stop_us + FINAL_ANSWERS_US, stop_us + RELEASES_US)
