"""Record of one request, logged as one line at its end; `benchmarks/stages.py` reads that line.

A read is a request's prefill at a reader, a write its decode at a writer; a place is memory reserved at the writer.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server


@dataclass(slots=True)
class RequestTrace:
    """Attempts, servers and times of one request. Times are of the program's clock, in microseconds; 0: not reached."""

    received_us: int
    reads: int = 0
    writes: int = 0
    places_requested: int = 0  # calls for a place
    places_refused: int = 0
    reader: Server | None = None
    writer: Server | None = None
    cached_tokens: int = 0  # prompt tokens that the last read found in the cache
    read_written_us: int = 0  # the last read's last byte was written
    read_answered_us: int = 0  # its answer arrived
    write_written_us: int = 0  # the last write's last byte was written
    first_event_us: int = 0  # its first event arrived

    def attempt_written(self, now_us: int, server: Server, read: bool) -> None:
        """Record that the last byte of an attempt was written."""
        if read:
            self.reads, self.reader, self.read_written_us, self.read_answered_us = self.reads + 1, server, now_us, 0
        else:
            self.writes, self.writer, self.write_written_us = self.writes + 1, server, now_us

    def read_ended(self, now_us: int, cached_tokens: int) -> None:
        """Record a successful read."""
        self.read_answered_us, self.cached_tokens = now_us, cached_tokens

    def log_fields(self, now_us: int, request: i.Request, end: str) -> dict[str, object]:
        """The fields of the log line; stages in milliseconds, of the last attempts only.

        `kept`: prompt tokens found in the cache; `tries`: reads, writes, places asked for and refused; `at`: reader
        and writer; `came`: `received_us` in milliseconds; `ms`: the stages, of which `hold` is from the read's answer
        to the write, while the reader holds the prompt's KV cache, and `transfer` from there to the first event.
        """
        times = {
            "wait": (self.received_us, self.read_written_us),
            "prefill": (self.read_written_us, self.read_answered_us),
            "hold": (self.read_answered_us, self.write_written_us),
            "transfer": (self.write_written_us, self.first_event_us),
            "decode": (self.first_event_us, now_us),
        }
        stages = ",".join(f"{name}:{(to - since) / 1_000:.0f}" for name, (since, to) in times.items() if since and to)
        return {
            "cls": request.cls,
            "tenant": request.tenant,
            "end": end,
            "prompt": f"{request.prompt_tokens:.0f}",
            "prefix": f"{request.prefix or '-'}:{request.prefix_tokens:.0f}",
            "session": request.session,
            "kept": self.cached_tokens,
            "tries": f"{self.reads},{self.writes},{self.places_requested},{self.places_refused}",
            "at": f"{_location(self.reader)},{_location(self.writer)}",
            "came": self.received_us // 1_000,
            "ms": stages,
        }


def _location(server: Server | None) -> str:
    return f"{server.name}/{server.zone}/{server.cell}" if server is not None else "-"
