"""Choice of the writer: the least loaded one, preferably in the reader's cell.

A reader runs the prefill stage of a request and keeps its state (the KV cache) until the writer, which runs
the decode stage, has fetched it. A place is memory reserved at a writer; a cell is a group of servers within
which states move fast.
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.readers import ReaderSelection
from yardspindle.policy.state import MAX_DELAY_AIM_FRACTION, OpenRequest, Server

# While no writer refuses a place, this router may use this multiple of its even share of the writers' memory.
MEMORY_OVERCOMMIT = 2.0
MEMORY_FRACTION = 0.9  # usable fraction of a writer's memory; answers grow after they start
# After a refused place, writers count as full for this multiple of the shortest latency target: one router
# sees few of the refusals, so each counts for long.
MEMORY_FULL_AIM_MULTIPLE = 4.0


class WriterSelection(ReaderSelection):
    """Chooses the server that writes an answer."""

    def _choose_writer(self, request: OpenRequest) -> Server | None:
        """Return the least loaded writer, of the reader's cell if possible; None while memory is used up."""
        writers = [s for s in self.servers.values() if s.role is not i.Role.READ and not s.inactive]
        # Even share of the total: the share of a single writer may be smaller than one prompt. Routers carry
        # more than their share when others have died.
        limit = MEMORY_FRACTION * sum(s.memory_tokens for s in writers) / self.settings.instances
        limit *= (
            1
            if self.now_us - self.last_place_refused_us < MEMORY_FULL_AIM_MULTIPLE * self.min_aim_us
            else MEMORY_OVERCOMMIT
        )
        # A limit of 0 means that the writers' memory is unknown.
        if self.held_tokens and self.held_tokens + request.arrival.prompt_tokens > limit > 0:
            return None
        reader_cell = request.reader.entry.cell if request.reader is not None else None
        for cell in () if reader_cell is None else (self._writer_cell(request, reader_cell), reader_cell):
            near = [s for s in writers if s.entry.cell == cell]
            if (writer := self._least_loaded(near, request)) is not None:
                return writer
        return self._least_loaded(writers, request)

    def _choose_home_writer(self, request: OpenRequest) -> Server | None:
        """Return a random writer in the cell where states of the first reader in the key's order are written.

        The choice is among all that are listed as serving, of any cell if that cell has none, and weighted by
        their capacity.
        """
        listed = [s for s in self.servers.values() if s.role is not i.Role.READ and not s.inactive]
        readers = self._reader_order(request.key)
        cell = self._writer_cell(request, readers[0].entry.cell) if readers else None
        near = [s for s in listed if s.entry.cell == cell] or listed
        return self.random.choices(near, [s.entry.units for s in near])[0] if near else None

    def _least_loaded(self, writers: list[Server], request: OpenRequest) -> Server | None:
        """Return a usable writer with few streams of this router, relative to its current capacity.

        Random noise, of one stream in the mean, is added to each load: it breaks the frequent ties and keeps
        many routers from choosing the same writer.
        """
        usable = [
            s for s in writers if self._usable(s, request) and s.entry.server not in request.full_writers
        ]
        if any(self._warmth(s) < 1 for s in usable) and (
            request.home_writer is None or request.home_writer.inactive
        ):
            request.home_writer = self._choose_home_writer(request)
        admitted = [s for s in usable if self._admits(request, s, request.home_writer)]
        loads = [
            (s.streams + 1 + self.random.expovariate(1)) / s.entry.units / self._warmth(s) for s in admitted
        ]
        return admitted[loads.index(min(loads))] if loads else None

    def _writer_cell(self, request: OpenRequest, reader_cell: int) -> int:
        """Return the cell in which a state read in `reader_cell` is written.

        Reads beyond the cell's share of the writes are written in cells with spare capacity. Otherwise the
        few writers of a cell fill up while others are idle, which no router sees from its own streams. A cell
        with writers keeps its states while moving them out is slow.
        """
        read_share, write_share = self.cell_shares.get(reader_cell, (0.0, 0.0))
        elsewhere = self.random.random() * read_share > write_share and any(self.spare_write_capacity)
        elsewhere = elsewhere and not (
            write_share and self._cell_delay(reader_cell) > MAX_DELAY_AIM_FRACTION * request.aim_us
        )
        return (
            self.random.choices(list(self.cell_shares), self.spare_write_capacity)[0]
            if elsewhere
            else reader_cell
        )
