"""Which ends of an attempt make a retry safe. Used by the edge's interlocks and by the client of the engines.

An unsafe request is one that must not run twice. It may be retried or refused only if nothing of it can have run. A
connection that was never made, and an engine's answer that it declined the request, prove that. A reset, a time-out, an
error or a cancellation proves nothing: the engine may have started. A read (prefill) has no effect, however it ends.
"""

from __future__ import annotations

from yardspindle.interface import Effect, Role, Status

# Ends that prove that an attempt had no effect. (READ: a read that succeeded; it has run, but reads have no effect.)
PROVES_NOT_RUN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.READ})

# Codes in the error object with which an engine declines work; any other error may come after work has started.
FULL_CODES = frozenset({"engine_full", "engine_draining"})
NO_STATE_CODE = "no_state"

NOTE_NO_STATE = 1  # `note` of an attempt (`interface.Outcome`): its state is not held any more, or was not found


def may_have_run(role: Role, status: Status) -> bool:
    """Whether an attempt that ended with this status may have had an effect."""
    return role is not Role.READ and status not in PROVES_NOT_RUN


def harmless_to_repeat(effect: Effect, maybe_ran: bool) -> bool:
    """Whether a client may be told that a retry is harmless; `maybe_ran`: an attempt may have run."""
    return effect is Effect.SAFE or not maybe_ran


def classify_error(http_status: int, code: str | None) -> tuple[Status, int]:
    """An engine's error answer as a status and a note (0 if there is nothing to note).

    Only a known code proves that nothing ran: a bare 503 may come from a proxy after the engine has started.
    """
    if code == NO_STATE_CODE:
        return Status.FULL, NOTE_NO_STATE
    if http_status in (429, 503) and code in FULL_CODES:
        return Status.FULL, 0
    return Status.ERROR, 0
