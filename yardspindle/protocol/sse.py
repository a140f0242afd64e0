"""Server-sent events without I/O, as the WHATWG HTML standard defines the stream (section 9.2)."""

from __future__ import annotations

import re
from dataclasses import dataclass

BOM = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")


class EventTooLarge(Exception):
    """An event is longer than the parser may hold."""


@dataclass(slots=True)
class ServerEvent:
    """A dispatched event: its data, its type (empty: `message`) and the last id seen."""

    data: bytes
    kind: bytes = b""
    last_id: bytes = b""


class SseParser:
    """Turns bytes, cut anywhere, into events."""

    def __init__(self, max_event_bytes: int = 8_388_608) -> None:
        """Hold at most so many bytes of an event that is not complete."""
        self._most = max_event_bytes
        self._buffer = b""
        self._first = True
        self._data: list[bytes] = []
        self._held = 0
        self._kind = b""
        self._last_id = b""
        self.retry_ms: int | None = None

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Take bytes, give the events that they complete. Raises EventTooLarge."""
        # Nearly every event of an engine is one whole `data:` line in one piece: taken without the state below.
        if (
            not self._buffer
            and not self._data
            and not self._first
            and data.startswith(b"data: ")
            and data.endswith(b"\n\n")
            and data.count(b"\n") == 2
            and b"\r" not in data
        ):
            event = ServerEvent(data[6:-2], self._kind, self._last_id)
            self._kind = b""
            return [event]
        text = self._buffer + data
        if self._first:
            if len(text) < 3 and BOM.startswith(text):
                self._buffer = text
                return []
            self._first = False
            text = text.removeprefix(BOM)
        events: list[ServerEvent] = []
        at = 0
        for end in LINE_END.finditer(text):
            if end.start() < at:
                continue
            if end.group() == b"\r" and end.end() == len(text):
                break  # a line feed may follow and belong to it
            self._line(text[at : end.start()], events)
            at = end.end()
        self._buffer = text[at:]
        if len(self._buffer) + self._held > self._most:
            raise EventTooLarge
        return events

    def _line(self, line: bytes, events: list[ServerEvent]) -> None:
        if not line:
            if self._data:
                events.append(ServerEvent(b"\n".join(self._data), self._kind, self._last_id))
            self._data, self._held, self._kind = [], 0, b""
            return
        name, colon, value = line.partition(b":")
        if colon and value.startswith(b" "):
            value = value[1:]
        if name == b"data":
            self._data.append(value)
            self._held += len(value) + 1
            if self._held > self._most:
                raise EventTooLarge
        elif name == b"event":
            self._kind = value
        elif name == b"id" and b"\0" not in value:
            self._last_id = value
        elif name == b"retry" and value.isdigit():
            self.retry_ms = int(value)


def write_event(data: bytes, kind: bytes = b"", event_id: bytes = b"") -> bytes:
    """One event's bytes. Raises ValueError for a line end in the type or id."""
    if LINE_END.search(kind) or LINE_END.search(event_id):
        raise ValueError("an event's type or id holds a line end")
    head = (b"event: " + kind + b"\n" if kind else b"") + (b"id: " + event_id + b"\n" if event_id else b"")
    if b"\n" not in data and b"\r" not in data:
        return head + b"data: " + data + b"\n\n"
    return head + b"".join(b"data: " + line + b"\n" for line in LINE_END.split(data)) + b"\n"
