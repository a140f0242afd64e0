"""Test cases with a step that must happen within a short window, such as while a connection is being established.

If a host holds something for a request, the program gives up a connection that is not established, or a call that is
not answered, after 0.11 to 0.23 s. A test process that is not scheduled for that long is too late for the step; its
case is then checked as it ran, and run again.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from pathlib import Path

from tests.crossing_parties import Host
from tests.crossings import Stage

MAX_ARRANGEMENTS = 8  # runs of a case in which its step may come too late
POLL_S = 0.005
SO_MEMINFO, MEMINFO_FIELDS, DROPS_FIELD = 55, 9, 8  # Linux's values
SYN_SENT = "02"
ATTEMPT_ENDS = ("log: attempt failed", "log: attempt called off")
CONNECT_ENDS = ("status=connect failed", "why=not connected in time")


class ArrangementMissedError(Exception):
    """The window for a step had ended before the step was made."""


def repeat_until_arranged(stage: Stage, case: Callable[[], None]) -> None:
    """Runs a case, and again after each ArrangementMissedError.

    The ledger checks every run; in one of at most MAX_ARRANGEMENTS runs the step must come in time.
    """
    for _ in range(MAX_ARRANGEMENTS):
        try:
            return case()
        except ArrangementMissedError as error:
            missed = error
            stage.serve_until_answered(*stage.clients)
            stage.check()
    raise AssertionError(f"not arranged in {MAX_ARRANGEMENTS} runs: {missed}")


def attempt_ended(stage: Stage, text: str = "") -> bool:
    """Whether the program has logged the end of an attempt of this case, with this text in the line."""
    case = f" id={stage.case_count}."
    return any(row.startswith(ATTEMPT_ENDS) and case in row and text in row for _, row in stage.ledger.transcript)


@contextlib.contextmanager
def connecting(stage: Stage, host: Host) -> Iterator[None]:
    """Runs the body while the program's SYN to a host that does not accept is unanswered.

    The window begins when the kernel drops the first SYN at the host's listener (read from its drop counter) and ends
    when the program logs the attempt's end. Both can still be read later, however late this process is scheduled.
    Raises ArrangementMissedError if an attempt of the case ended before the SYN was seen, or the connection was given
    up before the end of the body.
    """

    def look() -> str:
        if attempt_ended(stage):
            return "over"
        return "connecting" if _dropped_syns(host) else ""

    missed = stage.wait_for(f"a connection to {host.name}", look, POLL_S) == "over"
    if not missed:
        yield
        stage.read_log()
        missed = any(attempt_ended(stage, text) for text in CONNECT_ENDS)
    if missed:
        host.resume_accepting()
        raise ArrangementMissedError(f"the connection to {host.name} was given up")


def wait_connected(stage: Stage, host: Host) -> None:
    """Waits until no connection to a host is being established, and all established ones were used or ended."""
    stage.wait_for(
        f"no more connections to {host.name}",
        lambda: (
            all(call.end or call.count for call in host.connections if not call.is_filler) and not _syn_is_pending(host)
        ),
    )


def _dropped_syns(host: Host) -> int:
    """How many SYNs the kernel has dropped at a host's listener.

    The list of all sockets (/proc/net/tcp) is no substitute: with 6,500 sockets, reading it takes 25 ms of processor
    time, and on a busy machine up to 0.8 s, longer than the program waits for a connection.
    """
    data = host.listener.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, 4 * MEMINFO_FIELDS)
    return int(struct.unpack(f"{MEMINFO_FIELDS}I", data)[DROPS_FIELD])


def _syn_is_pending(host: Host) -> bool:
    port = f"{host.listener.getsockname()[1]:04X}"
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(row[2].endswith(f":{port}") and row[3] == SYN_SENT for row in rows)
