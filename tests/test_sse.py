"""Server-sent events against a reference parser by the standard, which takes the whole stream at once."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardspindle.protocol.sse import EventTooLarge, ServerEvent, SseParser, write_event


def parse_whole(stream: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """The standard's algorithm, line by line over the whole stream."""
    events: list[tuple[bytes, bytes, bytes]] = []
    data: list[bytes] = []
    kind = last_id = b""
    lines = re.split(rb"\r\n|\n|\r", stream.removeprefix(b"\xef\xbb\xbf"))
    for line in lines[:-1]:
        if not line:
            if data:
                events.append((b"\n".join(data), kind, last_id))
            data, kind = [], b""
            continue
        if line.startswith(b":"):
            continue
        name, _, text = line.partition(b":")
        text = text[1:] if text.startswith(b" ") else text
        if name == b"data":
            data.append(text)
        elif name == b"event":
            kind = text
        elif name == b"id" and b"\0" not in text:
            last_id = text
    return events


fragments = st.sampled_from(
    [
        b"data: {}",
        b"data:x",
        b"data",
        b"event: error",
        b"id: 4",
        b"id",
        b": note",
        b"\n",
        b"\r\n",
        b"\r",
        b"\n\n",
        b"\xef\xbb\xbf",
        b" ",
        b"data: a\n\n",
        b"retry: 10",
        b"x",
        b"\0",
    ]
)


@settings(max_examples=500, deadline=None)
@given(st.lists(fragments, max_size=20), st.lists(st.integers(0, 200), max_size=6))
def test_events_are_those_of_the_standard_however_cut(drawn: list[bytes], cuts: list[int]) -> None:
    stream = b"".join(drawn)
    points = sorted({point % (len(stream) + 1) for point in cuts})
    parser = SseParser()
    events: list[ServerEvent] = []
    for start, end in zip([0, *points], [*points, len(stream)], strict=True):
        events += parser.feed(stream[start:end])
    expected = parse_whole(stream[:-1] if stream.endswith(b"\r") else stream)
    assert [(event.data, event.kind, event.last_id) for event in events] == expected


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.binary(max_size=60), st.sampled_from([b"", b"error"])), max_size=6))
def test_what_is_written_is_read(drawn: list[tuple[bytes, bytes]]) -> None:
    parser = SseParser()
    events = parser.feed(b"".join(write_event(data, kind) for data, kind in drawn))
    lines = [re.sub(rb"\r\n|\r", b"\n", data) for data, _ in drawn]
    assert [event.data for event in events] == lines


def test_an_event_without_end_is_bounded() -> None:
    parser = SseParser(max_event_bytes=1_000)
    with pytest.raises(EventTooLarge):
        for _ in range(100):
            parser.feed(b"data: " + b"x" * 50 + b"\n")
    parser = SseParser(max_event_bytes=1_000)
    with pytest.raises(EventTooLarge):
        for _ in range(100):
            parser.feed(b"x" * 50)


def test_a_type_with_a_line_end_is_not_written() -> None:
    with pytest.raises(ValueError):
        write_event(b"x", b"a\nb")
