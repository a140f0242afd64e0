"""A request that comes byte by byte on a connection that was idle at SIGTERM, across the steps of the drain.

See test_crossings_drain.py for the steps' times. Where clients do not ask for a stream's rest, requests are refused
from the close of idle connections on, and the process ends with its last connection.
"""

from __future__ import annotations

import signal
from pathlib import Path
from time import monotonic

import pytest

from tests.crossings import DUE_S, Stage
from tests.test_crossings_drain import AHEAD_S, CLOSE_S, GIVE_UP_MS, GONE_S, LEAVE_S, ask, in_time, rested

BEGIN_S = 0.55  # after SIGTERM the first bytes are written
PIECES = 100  # of one to three bytes, the last of them one
STEPS = {  # resume, when the last byte comes (before or after a step), what it is answered
    "before the close": (CLOSE_S, {True: 200, False: 200}),
    "before the refusal": (LEAVE_S, {True: 200, False: 503}),
    "before the end": (GONE_S, {True: 503, False: 503}),
}


def in_pieces(folder: Path, resume: bool, step: str, crossing: bool) -> list[str] | None:
    """The last byte comes a little before a step, or (`crossing`) in the turn of the program in which it is due."""
    due, statuses = STEPS[step]
    with Stage(folder, GIVE_UP_MS, resume=resume) as stage:
        clients = rested(stage, "rested")
        least = monotonic()
        stage.signal(signal.SIGTERM)
        told = stage.line("draining")
        clients["new"] = stage.client()
        stage.at(least + BEGIN_S)
        for name, client in clients.items():
            ask(client, name, upto=1)
        requests = [client.requests[-1] for client in clients.values()]
        for at in range(1, PIECES):
            stage.at(least + BEGIN_S + (due - AHEAD_S - BEGIN_S) * at / PIECES)
            for client, r in zip(clients.values(), requests, strict=True):
                client.more(r, (len(r.data) - 1) * at // PIECES)
        if crossing:
            with stage.stopped():
                if monotonic() > least + due:
                    return None
                for client, r in zip(clients.values(), requests, strict=True):
                    client.more(r, len(r.data) - 1)
                    client.more(r)
                stage.at(told + due + DUE_S)
        else:
            for client, r in zip(clients.values(), requests, strict=True):
                client.more(r, len(r.data) - 1)
                client.more(r)
            if monotonic() > least + due:
                return None
        stage.play(*clients.values())
        seen = [client.answer().status for client in clients.values()]
        assert stage.exited() == 0
        if not crossing:
            assert seen == [statuses[resume]] * 2
        for client in clients.values():
            client.ended()
        return stage.judge()


@pytest.mark.parametrize("crossing", [False, True])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("resume", [True, False])
def test_a_request_comes_byte_by_byte_across_a_step_of_the_drain(
    tmp_path: Path, resume: bool, step: str, crossing: bool
) -> None:
    assert not in_time(lambda folder: in_pieces(folder, resume, step, crossing), tmp_path)
