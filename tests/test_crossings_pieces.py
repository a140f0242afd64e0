"""A request that arrives byte by byte across the steps of the drain, on a connection that was idle at SIGTERM.

See test_crossings_drain.py for the times. Where clients do not resume streams, requests are refused as soon as idle
connections are closed, and the process exits with its last connection.
"""

from __future__ import annotations

import signal
from pathlib import Path
from time import monotonic

import pytest

from tests.crossings import TIMER_MARGIN_S, Stage
from tests.test_crossings_drain import (
    AHEAD_S,
    CLOSE_S,
    CUT_S,
    EXIT_S,
    GIVE_UP_MS,
    ask,
    idle_clients,
    retry_until_in_time,
)

FIRST_BYTES_S = 0.55  # the first bytes are written this long after SIGTERM
PIECES = 100  # of one to three bytes each, the last of one
SHUTDOWN_STEPS = {  # the step's time after SIGTERM; the status for a last byte before it, by `resume`
    "before the close": (CLOSE_S, {True: 200, False: 200}),
    "before the refusal": (CUT_S, {True: 200, False: 503}),
    "before the end": (EXIT_S, {True: 503, False: 503}),
}


def send_in_pieces(folder: Path, resume: bool, step: str, crossing: bool) -> list[str] | None:
    """The last byte arrives a little before a step, or (`crossing`) in the turn in which the step is due."""
    due, statuses = SHUTDOWN_STEPS[step]
    with Stage(folder, GIVE_UP_MS, resume=resume) as stage:
        clients = idle_clients(stage, "rested")
        signalled_at = monotonic()
        stage.send_signal(signal.SIGTERM)
        draining_at = stage.wait_log_line("draining")
        clients["new"] = stage.client()
        stage.wait_until(signalled_at + FIRST_BYTES_S)
        for name, client in clients.items():
            ask(client, name, upto=1)
        requests = [client.requests[-1] for client in clients.values()]
        for at in range(1, PIECES):
            stage.wait_until(signalled_at + FIRST_BYTES_S + (due - AHEAD_S - FIRST_BYTES_S) * at / PIECES)
            for client, request in zip(clients.values(), requests, strict=True):
                client.send_more(request, (len(request.data) - 1) * at // PIECES)
        if crossing:
            with stage.paused():
                if monotonic() > signalled_at + due:
                    return None
                for client, request in zip(clients.values(), requests, strict=True):
                    client.send_more(request, len(request.data) - 1)
                    client.send_more(request)
                stage.wait_until(draining_at + due + TIMER_MARGIN_S)
        else:
            for client, request in zip(clients.values(), requests, strict=True):
                client.send_more(request, len(request.data) - 1)
                client.send_more(request)
            if monotonic() > signalled_at + due:
                return None
        stage.serve_until_answered(*clients.values())
        answered = [client.wait_answer().status for client in clients.values()]
        assert stage.wait_exit() == 0
        if not crossing:
            assert answered == [statuses[resume]] * 2
        for client in clients.values():
            client.wait_end()
        return stage.judge()


@pytest.mark.parametrize("crossing", [False, True])
@pytest.mark.parametrize("step", SHUTDOWN_STEPS)
@pytest.mark.parametrize("resume", [True, False])
def test_a_request_comes_byte_by_byte_across_a_step_of_the_drain(
    tmp_path: Path, resume: bool, step: str, crossing: bool
) -> None:
    assert not retry_until_in_time(lambda folder: send_in_pieces(folder, resume, step, crossing), tmp_path)
