"""What one request went through, as one line of the log when it is over; `benchmarks/stages.py` reads it."""

from __future__ import annotations

from dataclasses import dataclass

from yardspindle import interface as i
from yardspindle.core.hosts.directory import Server


@dataclass(slots=True)
class Trace:
    """Times are the program's, in microseconds; 0: it never came to that."""

    came_us: int
    reads: int = 0
    writes: int = 0
    asked: int = 0  # places
    refused: int = 0
    reader: Server | None = None
    writer: Server | None = None
    kept: int = 0  # prompt tokens that the last read found kept
    read_us: int = 0  # the last read's last byte was written
    state_us: int = 0  # its answer came
    write_us: int = 0  # the last write's last byte was written
    first_us: int = 0  # its first event came

    def written(self, now_us: int, server: Server, read: bool) -> None:
        """An attempt's last byte is written."""
        if read:
            self.reads, self.reader, self.read_us, self.state_us = self.reads + 1, server, now_us, 0
        else:
            self.writes, self.writer, self.write_us = self.writes + 1, server, now_us

    def read(self, now_us: int, kept: int) -> None:
        """A read ended well."""
        self.state_us, self.kept = now_us, kept

    def fields(self, now_us: int, ask: i.Request, end: str) -> dict[str, object]:
        """The line's fields; stages in milliseconds, of the last attempts alone."""
        times = {
            "wait": (self.came_us, self.read_us),
            "prefill": (self.read_us, self.state_us),
            "hold": (self.state_us, self.write_us),
            "transfer": (self.write_us, self.first_us),
            "decode": (self.first_us, now_us),
        }
        stages = ",".join(f"{name}:{(to - since) / 1_000:.0f}" for name, (since, to) in times.items() if since and to)
        return {
            "cls": ask.cls,
            "tenant": ask.tenant,
            "end": end,
            "prompt": f"{ask.prompt_tokens:.0f}",
            "prefix": f"{ask.prefix or '-'}:{ask.prefix_tokens:.0f}",
            "session": ask.session,
            "kept": self.kept,
            "tries": f"{self.reads},{self.writes},{self.asked},{self.refused}",
            "at": f"{_where(self.reader)},{_where(self.writer)}",
            "came": self.came_us // 1_000,
            "ms": stages,
        }


def _where(server: Server | None) -> str:
    return f"{server.name}/{server.zone}/{server.cell}" if server is not None else "-"
