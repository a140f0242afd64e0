"""The choice of writer: fewest of our streams, in the reader's cell if that has one."""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.readers import Readers
from yardspindle.policy.state import LATE_AIM_PART, Open, Server

SPARE_TIMES = 2.0  # our part of the writers' memory that we may use while no place is refused
MEMORY_PART = 0.9  # part of a writer's memory that counts as room; answers grow after they start
SHORT_AIMS = 4.0  # so many aims after a refused place writers count as full: a router hears of few


class Writers(Readers):
    """Where an answer is written."""

    def _writer(self, r: Open) -> Server | None:
        """The writer with fewest of our streams, of the reader's cell if that has one."""
        known = [s for s in self.servers.values() if s.role is not i.Role.READ and not s.inactive]
        # Our even part of all: of each writer it may be under one prompt. Where others died we carry more.
        part = MEMORY_PART * sum(s.memory for s in known) / self.settings.instances
        part *= 1 if self.now_us - self.last_place_refused_us < SHORT_AIMS * self.min_aim_us else SPARE_TIMES
        if self.held and self.held + r.ask.prompt_tokens > part > 0:
            return None
        home = r.reader.entry.cell if r.reader is not None else None
        for cell in () if home is None else (self._cell(r, home), home):
            near = [s for s in known if s.entry.cell == cell]
            if (writer := self._least(near, r)) is not None:
                return writer
        return self._least(known, r)

    def _home_writer(self, r: Open) -> Server | None:
        """The writer that it would have if all that are listed served: by chance, near its home reader."""
        listed = [s for s in self.servers.values() if s.role is not i.Role.READ and not s.inactive]
        readers = self._reader_order(r.key)
        cell = self._cell(r, readers[0].entry.cell) if readers else None
        near = [s for s in listed if s.entry.cell == cell] or listed
        return self.random.choices(near, [s.entry.units for s in near])[0] if near else None

    def _least(self, known: list[Server], r: Open) -> Server | None:  # for what each can do now
        usable = [s for s in known if self._usable(s, r) and s.entry.server not in r.asked]
        if any(self._warmth(s) < 1 for s in usable) and (r.home_writer is None or r.home_writer.inactive):
            r.home_writer = self._home_writer(r)
        fit = [s for s in usable if self._admits(r, s, r.home_writer)]
        loads = [(s.streams + 1 + self.random.expovariate(1)) / s.entry.units / self._warmth(s) for s in fit]
        return fit[loads.index(min(loads))] if loads else None

    def _cell(self, r: Open, home: int) -> int:  # where a state read in a cell is written
        # Else a cell's few writers fill while others idle, and no router sees it from its own streams.
        read, write = self.cells.get(home, (0.0, 0.0))
        away = self.random.random() * read > write and any(self.spare)
        away = away and not (write and self._slow(home) > LATE_AIM_PART * r.aim_us)
        return self.random.choices(list(self.cells), self.spare)[0] if away else home
