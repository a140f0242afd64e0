"""What the end of an attempt proves. One table, used by the edge's interlocks and by the engines' client.

An unsafe request may be tried again, or refused, only if nothing of it can have run. A connection that was never
made, and an engine's own word that it turned the request away, prove that. A reset, a time-out, an error and a
call-off prove nothing: the engine may have begun. A read has no effect, however it ends.
"""

from __future__ import annotations

from yardspindle.interface import Effect, Role, Status

PROVES_NOT_RUN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.READ})

# An engine turns work away by one of these codes in its error object; any other error may follow work begun.
FULL_CODES = frozenset({"engine_full", "engine_draining"})
NO_STATE_CODE = "no_state"


def may_have_run(role: Role, status: Status) -> bool:
    """Whether an attempt that ended so may have had an effect."""
    return role is not Role.READ and status not in PROVES_NOT_RUN


def harmless_to_repeat(effect: Effect, ran: bool) -> bool:
    """Whether a client may be told that trying again is harmless."""
    return effect is Effect.SAFE or not ran


def classify_error(http_status: int, code: str | None) -> tuple[Status, int]:
    """An engine's error answer as a status and a note (1: it found no state to fetch).

    Only a code that we know proves anything: a bare 503 may come from a proxy after the engine had begun.
    """
    if code == NO_STATE_CODE:
        return Status.FULL, 1
    if http_status in (429, 503) and code in FULL_CODES:
        return Status.FULL, 0
    return Status.ERROR, 0
