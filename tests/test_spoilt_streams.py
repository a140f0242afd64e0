"""Streams that their host spoils after sound events, at the real dispatcher: the client is not left waiting."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, repeat
from time import monotonic, sleep

import pytest

from tests.crossing_messages import EVENT, chunk
from tests.crossing_parties import Call, Client
from tests.crossings import Stage

WAIT_LIMIT_S = 5.0  # the platform's: a client that waits longer than this after the last event is lost
MAX_PLAY_S = 8.0
SOUND_EVENTS = 3
STEP_S = 0.01
GIGABYTE = b"40000000"


@dataclass
class HostStream:
    """A stream that its host goes on with piece by piece, each `pause_s` after the one before."""

    name: str
    client: Client
    call: Call
    pieces: Iterator[bytes]
    pause_s: float
    last_event_at: float
    stalled_s: float
    next_at: float = 0.0
    waited_s: float = 0.0  # from the last event until the connection's end

    def step(self) -> None:
        """Note the end of the client's connection, or write the piece that is due."""
        if self.client.end:
            self.waited_s = self.waited_s or monotonic() - self.last_event_at
        elif monotonic() >= self.next_at:
            self.call.send(next(self.pieces, b""))
            self.next_at = monotonic() + self.pause_s


def begin(stage: Stage, name: str, pieces: Iterator[bytes], pause_s: float) -> HostStream:
    """Begin a stream and pass on its sound events."""
    client = stage.client()
    client.ask(name)
    stage.wait_call("read", name).answer(202)
    call = stage.wait_call("write", name)
    call.begin_stream()
    client.wait_first_data()
    for _ in range(SOUND_EVENTS - 1):
        call.send_event()
    return HostStream(name, client, call, pieces, pause_s, monotonic(), stage.stalled_s())


def each_ends_in_time(stage: Stage, forms: dict[str, tuple[bytes, bytes, float]]) -> None:
    """Play all forms side by side: bytes that are written once, others that are repeated, and the pause between."""
    streams = [
        begin(stage, name, chain([once], repeat(again)), pause_s) for name, (once, again, pause_s) in forms.items()
    ]
    for each in streams:
        assert each.call.attempt is not None
        stage.ledger.on_attempt_end(each.call.attempt, 0)  # what follows is no answer
    until = monotonic() + MAX_PLAY_S
    while not all(each.waited_s for each in streams) and monotonic() < until:
        for each in streams:
            each.step()
        sleep(STEP_S)
    late = {
        each.name: round(each.waited_s, 3) or "open"
        for each in streams
        if not 0.0 < each.waited_s < WAIT_LIMIT_S + stage.stalled_s() - each.stalled_s
    }
    assert not late, f"seconds from the last event to the connection's end: {late}"
    for each in streams:
        answer = each.client.wait_answer()
        assert (answer.whole, answer.body) == (False, EVENT * SOUND_EVENTS)
    stage.check()


def test_a_chunk_of_gigabytes_ends_its_stream_whatever_comes_in_it(stage: Stage) -> None:
    each_ends_in_time(
        stage,
        {
            "events": (GIGABYTE + b"\r\n", EVENT, 0.05),
            "an-event-with-it": (GIGABYTE + b"\r\n" + EVENT, EVENT, 0.5),
            "chunks": (GIGABYTE + b"\r\n", chunk(EVENT), 0.05),
            "with-leading-zeros": (b"00000000" + GIGABYTE + b"\r\n", EVENT, 1.5),
            "with-an-extension": (GIGABYTE + b";a=b\r\n", EVENT, 0.2),
        },
    )


def test_a_size_line_that_never_ends_does_not_keep_its_stream_open(stage: Stage) -> None:
    each_ends_in_time(
        stage,
        {
            "zeros": (b"", b"0", 0.05),
            "slow-zeros": (b"", b"0", 1.0),
            "digits": (b"", b"4", 0.2),
            "extension": (b"39;", b"a", 0.05),
            "slow-extension": (b"39", b";", 1.5),
            "extension-of-gigabytes": (GIGABYTE + b";", b"a", 0.1),
            "events-in-an-extension": (GIGABYTE + b";", b"data: x", 0.5),
            "carriage-returns": (GIGABYTE, b"\r", 0.1),
        },
    )


def test_trailers_that_never_end_do_not_keep_their_stream_open(stage: Stage) -> None:
    each_ends_in_time(
        stage,
        {
            "one-trailer": (b"0\r\nx: ", b"y", 0.05),
            "many-trailers": (b"0\r\n", b"x: y\r\n", 0.4),
            "size-line-of-the-last-chunk": (b"0;", b"a", 0.1),
        },
    )


@pytest.mark.parametrize("written", [b"\r\n39\r\n", b"\r\n0\r\n\r\n"])
def test_a_sound_size_line_that_takes_longer_than_silence_may_last_is_waited_for(stage: Stage, written: bytes) -> None:
    byte_s = 0.9  # for each byte, of which there are six or more
    first = EVENT if written.endswith(b"39\r\n") else b""
    client = stage.client()
    client.ask("slow")
    stage.wait_call("read", "slow").answer(202)
    call = stage.wait_call("write", "slow")
    call.begin_stream()
    client.wait_first_data()
    call.send(chunk(EVENT)[:-2])
    assert call.attempt is not None
    call.attempt.events += EVENT
    for at in range(len(written) - 2 * (not first)):
        sleep(byte_s)
        call.send(written[at : at + 1])
    assert not client.end
    if first:
        call.attempt.events += first
        call.send(first + b"\r\n")
        call.end_stream()
    else:
        call.attempt.finished_at = monotonic()
        stage.ledger.on_attempt_end(call.attempt, 200)
        call.send(b"\r\n")
    answer = client.wait_answer()
    assert answer.whole and answer.body == call.attempt.events
    stage.check()
