"""What one request went through, as one line of the log when it is over; `benchmarks/stages.py` reads it."""

from __future__ import annotations

from dataclasses import dataclass

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server


@dataclass(slots=True)
class RequestTrace:
    """Times are the program's, in microseconds; 0: it never came to that."""

    received_us: int
    reads: int = 0
    writes: int = 0
    places_asked: int = 0  # places
    places_refused: int = 0
    reader: Server | None = None
    writer: Server | None = None
    cached_tokens: int = 0  # prompt tokens that the last read found kept
    read_written_us: int = 0  # the last read's last byte was written
    read_answered_us: int = 0  # its answer came
    write_written_us: int = 0  # the last write's last byte was written
    first_event_us: int = 0  # its first event came

    def attempt_written(self, now_us: int, server: Server, read: bool) -> None:
        """An attempt's last byte is written."""
        if read:
            self.reads, self.reader, self.read_written_us, self.read_answered_us = self.reads + 1, server, now_us, 0
        else:
            self.writes, self.writer, self.write_written_us = self.writes + 1, server, now_us

    def read_ended(self, now_us: int, kept: int) -> None:
        """A read ended well."""
        self.read_answered_us, self.cached_tokens = now_us, kept

    def log_fields(self, now_us: int, ask: i.Request, end: str) -> dict[str, object]:
        """The line's fields; stages in milliseconds, of the last attempts alone."""
        times = {
            "wait": (self.received_us, self.read_written_us),
            "prefill": (self.read_written_us, self.read_answered_us),
            "hold": (self.read_answered_us, self.write_written_us),
            "transfer": (self.write_written_us, self.first_event_us),
            "decode": (self.first_event_us, now_us),
        }
        stages = ",".join(f"{name}:{(to - since) / 1_000:.0f}" for name, (since, to) in times.items() if since and to)
        return {
            "cls": ask.cls,
            "tenant": ask.tenant,
            "end": end,
            "prompt": f"{ask.prompt_tokens:.0f}",
            "prefix": f"{ask.prefix or '-'}:{ask.prefix_tokens:.0f}",
            "session": ask.session,
            "kept": self.cached_tokens,
            "tries": f"{self.reads},{self.writes},{self.places_asked},{self.places_refused}",
            "at": f"{_where(self.reader)},{_where(self.writer)}",
            "came": self.received_us // 1_000,
            "ms": stages,
        }


def _where(server: Server | None) -> str:
    return f"{server.name}/{server.zone}/{server.cell}" if server is not None else "-"
