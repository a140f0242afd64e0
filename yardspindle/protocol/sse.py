"""Sans-I/O parser and serializer for server-sent events (WHATWG HTML standard, section 9.2)."""

from __future__ import annotations

import re
from dataclasses import dataclass

BOM = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")


class EventTooLarge(Exception):
    """An event exceeds the size limit of the parser."""


@dataclass(slots=True)
class ServerEvent:
    """A dispatched event: its data, its type (empty for `message`) and the last event id received so far."""

    data: bytes
    kind: bytes = b""
    last_id: bytes = b""


class SseParser:
    """Parses a byte stream, split at arbitrary positions, into events."""

    def __init__(self, max_event_bytes: int = 8_388_608) -> None:
        """Buffer at most `max_event_bytes` of an incomplete event."""
        self._max_event_bytes = max_event_bytes
        self._buffer = b""
        self._at_start = True
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._kind = b""
        self._last_id = b""
        self.retry_ms: int | None = None

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add received bytes and return the events that they complete. Raises EventTooLarge."""
        # Fast path: engines send nearly every event as a single `data:` line that arrives in one piece.
        if (
            not self._buffer
            and not self._data
            and not self._at_start
            and data.startswith(b"data: ")
            and data.endswith(b"\n\n")
            and data.count(b"\n") == 2
            and b"\r" not in data
        ):
            event = ServerEvent(data[6:-2], self._kind, self._last_id)
            self._kind = b""
            return [event]
        text = self._buffer + data
        if self._at_start:
            if len(text) < 3 and BOM.startswith(text):
                self._buffer = text
                return []
            self._at_start = False
            text = text.removeprefix(BOM)
        events: list[ServerEvent] = []
        at = 0
        for end in LINE_END.finditer(text):
            if end.start() < at:
                continue
            if end.group() == b"\r" and end.end() == len(text):
                break  # a following line feed would belong to the same line end
            self._line(text[at : end.start()], events)
            at = end.end()
        self._buffer = text[at:]
        if len(self._buffer) + self._data_bytes > self._max_event_bytes:
            raise EventTooLarge
        return events

    def _line(self, line: bytes, events: list[ServerEvent]) -> None:
        if not line:
            if self._data:
                events.append(ServerEvent(b"\n".join(self._data), self._kind, self._last_id))
            self._data, self._data_bytes, self._kind = [], 0, b""
            return
        name, colon, value = line.partition(b":")
        if colon and value.startswith(b" "):
            value = value[1:]
        if name == b"data":
            self._data.append(value)
            self._data_bytes += len(value) + 1
            if self._data_bytes > self._max_event_bytes:
                raise EventTooLarge
        elif name == b"event":
            self._kind = value
        elif name == b"id" and b"\0" not in value:
            self._last_id = value
        elif name == b"retry" and value.isdigit():
            self.retry_ms = int(value)


def write_event(data: bytes, kind: bytes = b"", event_id: bytes = b"") -> bytes:
    """Serialize one event. Raises ValueError for a line end in the type or id."""
    if LINE_END.search(kind) or LINE_END.search(event_id):
        raise ValueError("an event's type or id holds a line end")
    head = (b"event: " + kind + b"\n" if kind else b"") + (b"id: " + event_id + b"\n" if event_id else b"")
    if b"\n" not in data and b"\r" not in data:
        return head + b"data: " + data + b"\n\n"
    return head + b"".join(b"data: " + line + b"\n" for line in LINE_END.split(data)) + b"\n"
