"""The life of a request: sent, waited for, tried again, answered, let go of."""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.state import KEYS_MOST, SWEEP_US, Open, Server
from yardspindle.policy.writers import Writers

BUSY_US = 100_000  # a writer that was full gets none of the tenant's work for about the time of a few tokens
FULL_TIMES = 20  # or so many times what it took to say so, and longer each time: to ask must cost little
PLACES_MOST = 4  # writers asked for a place with one read; each asking costs what a probe costs
WAIT_AIM_PART = 0.2  # part of the aim that may be spent waiting before the read; the rest is for the work
SMOOTH = 0.1  # weight of a new observation in every running mean
LOG_US = 5_000_000  # at most one line on requests given up in so long


class Life(Writers):
    """What becomes of each request."""

    def _arrive(self, ask: i.Request) -> None:
        cls = self.classes[ask.cls]
        aim = cls.aim_us + cls.aim_us_per_1000_prompt_tokens * ask.prompt_tokens / 1000
        key = ask.prefix or ask.session or str(ask.request)
        self._count_arrival(ask)
        r = self.open_requests[ask.request] = Open(ask, cls, aim, key, self.random.random() * self._surge())
        self._count_key(key)
        self._start(r)

    def _send(self, r: Open, server: Server) -> None:
        self._note_send(r, server, r.home_writer if server.role is i.Role.WRITE else r.home_reader)
        server.out[(r.ask.request, r.attempts)] = self.now_us
        r.out[r.attempts] = server
        r.attempts, r.pinned_us = r.attempts + 1, 0
        self.acts.append(i.Send(r.ask.request, server.entry.server))

    def _start(self, r: Open) -> None:  # begin to read, and ask a place with it
        if (
            r.attempts + 2 > self.settings.max_attempts
            or self.now_us >= r.ask.expires_us - self.settings.tick_us
        ):
            return self._end(r, "time")
        r.reader = reader = self._reader(r)
        if reader is not None and reader.role is i.Role.BOTH:
            return self._write(r, reader)  # a mixed server takes its share whole
        writer = self._writer(r)
        if (
            writer is not None
            and reader is None
            and self.settings.writers_read
            and not any(self._reader_order(r.key))
        ):
            return self._write(r, writer)
        if writer is None or reader is None:
            return self._wait(r)
        reader.pending_tokens += r.new
        r.backlog = reader.pending_tokens
        self._send(r, reader)
        if self.settings.ahead:
            self._ask(r, writer)
        return None

    def _ask(self, r: Open, writer: Server) -> None:
        r.place = writer
        self._take(r, writer, 1)
        self.acts.append(i.Ahead(r.ask.request, writer.entry.server))

    def _write(self, r: Open, server: Server) -> None:
        self._unplace(r)
        self._take(r, server, 1)
        self._send(r, server)

    def _take(self, r: Open, writer: Server, sign: int) -> None:  # count a stream or place of ours
        writer.streams += sign
        self.held += sign * r.ask.prompt_tokens

    def _unplace(self, r: Open) -> None:
        if r.place is not None:
            self._take(r, r.place, -1)
            r.place = None

    def _uncount(self, r: Open, seq: int) -> bool:  # an attempt is over; was it a read?
        server = r.out.pop(seq)
        sent = server.out.pop((r.ask.request, seq), None)
        if server.role is i.Role.READ:
            server.pending_tokens -= r.new
            return True
        self._moved(r, server, sent, first=False)
        self._take(r, server, -1)
        return False

    def _next(self, r: Open) -> None:  # after a read, or a writer turned it away
        if (
            self.now_us >= r.ask.expires_us - self.settings.tick_us
            or r.attempts >= self.settings.max_attempts
        ):
            return self._end(r, "time")
        if r.place is not None and self._usable(r.place, r) and self._admits(r, r.place, r.home_writer):
            return self._write(r, r.place)
        r.asked.clear()
        if (writer := self._writer(r)) is not None:
            return self._write(r, writer)
        r.pinned_us = r.pinned_us or self.now_us
        return self._wait(r)

    def _wait(self, r: Open) -> None:  # writers are full or readers late: for a bounded time
        r.waits_us = r.waits_us or self.now_us
        if self.now_us >= r.ask.expires_us - 2 * SWEEP_US:
            self._end(r, "time")

    def _heard(self, r: Open, event: i.First | i.Note | i.Hangup) -> None:
        if isinstance(event, i.Hangup):
            self._end(r, None)
        elif isinstance(event, i.First) and event.attempt in r.out:
            at = r.out[event.attempt]
            sent = at.out.pop((event.request, event.attempt), None)
            self._moved(r, at, sent, first=True)
            self._alive(at, r, sent)
            r.pinned_us = 0
        elif isinstance(event, i.Note) and not event.held and r.place is not None:
            # The one sure sign of a full writer: ask the next during the read. (The note names the reader.)
            r.asked.add(r.place.entry.server)
            self.last_place_refused_us = self.now_us
            self._unplace(r)
            if len(r.asked) < PLACES_MOST and r.out and (writer := self._writer(r)) is not None:
                self._ask(r, writer)

    def _outcome(self, event: i.Outcome) -> None:
        server, r = self.servers[event.server], self.open_requests.get(event.request)
        status = event.status
        if status is i.Status.FULL and event.note == 0 and r is not None:
            # A server may turn one tenant away though it has room: it is shut for that one alone.
            times = server.full.get(r.ask.tenant, (0, 0))[1]
            pause = max(BUSY_US, FULL_TIMES * event.latency_us) * (times + 1)
            server.full[r.ask.tenant] = self.now_us + pause, times + 1
        elif status in (i.Status.CONNECT_FAILED, i.Status.RESET) and not event.stale:
            # A kept connection that broke under its next request, or one reset while it was made, says that
            # connections break: not that a server died.
            self._eject(server, status.value)
        elif status is i.Status.TIMEOUT and event.note == 1:
            # Not a word of it while its state was held: it went to a server that may be silent to all.
            self._eject(server, "silent")
        if event.stale:
            self.lossy_us = self.now_us
        sent = self.now_us - event.latency_us
        if status is i.Status.TIMEOUT and server.role is i.Role.READ and sent >= server.answered_us:
            server.late_us, server.late_at = self._longer(max(event.latency_us, self.min_aim_us)), self.now_us
        if r is None:
            if status is i.Status.READ:  # read for a request that has ended: nothing may stay pinned
                self.acts.append(i.Discard(event.request))
            return None
        read = event.attempt in r.out and self._uncount(r, event.attempt)
        if event.closed:
            return self._end(r, None)
        if event.attempt in r.given_up:
            return None  # its state, if it left one, is let go of with what the request holds at its end
        if read:
            if status is i.Status.READ:
                self._alive(server, r, sent)
                self._learn(server, event, r)
                r.pinned_us = self.now_us
                return self._next(r)
            r.avoid.add(event.server)
            if status is i.Status.CANCELLED and r.place is not None:
                r.avoid.add(r.place.entry.server)  # one of the two is silent, and nothing tells which
            if status is i.Status.CONNECT_FAILED and not event.stale:
                r.unreached.add(server.entry.zone)
            self._drop_held(r)
            return self._start(r)
        if status not in (i.Status.CONNECT_FAILED, i.Status.FULL, i.Status.MOOT):  # it may have run
            r.ran = True
            if r.cls.effect is not i.Effect.SAFE:  # keyed ones neither: not worth the risk
                return self._end(r, "fail")
        if event.note == 1 or r.reader is None:
            # No state is left, or it could be held no longer while no word of a writer came: read again.
            self._drop_held(r)
            return self._start(r)
        r.pinned_us = self.now_us
        r.avoid.add(event.server)
        return self._next(r)

    def _learn(self, server: Server, event: i.Outcome, r: Open) -> None:  # from the end of a read
        tokens = max(r.ask.prompt_tokens - event.note, 1.0)
        if len(server.kept) > KEYS_MOST:
            server.kept.clear()
        server.kept |= {r.ask.prefix or "": r.ask.prefix_tokens, r.ask.session or "": r.ask.prompt_tokens}
        self.usual += SMOOTH * (event.latency_us - self.usual)
        self.read_tokens += SMOOTH * (r.backlog - self.read_tokens)
        self.max_read_rate = max(self.max_read_rate, tokens / max(event.latency_us, self.settings.tick_us))
        self.mean_service_us += SMOOTH * (tokens / self.max_read_rate - self.mean_service_us)
        server.late_us, server.late_at = (
            self._longer(event.latency_us - tokens / self.max_read_rate),
            self.now_us,
        )

    def _drop_held(self, r: Open) -> None:  # nothing stays pinned
        self._unplace(r)
        self.acts.append(i.Discard(r.ask.request))
        r.pinned_us = 0

    def _end(self, r: Open, why: str | None) -> None:
        """The one exit: answers, releases what is held, forgets."""
        for seq in list(r.out):
            r.ran = not self._uncount(r, seq) or r.ran
            if self.settings.cancel:
                self.acts.append(i.Cancel(r.ask.request, seq))
        if why is not None:
            if self.now_us >= self.log_us:
                self.log_us = self.now_us + LOG_US
                self.acts.append(i.Log(f"giving up requests: {why}"))
            wait = self.settings.max_retry_after_us if self.settings.retry_after else 0
            harmless = not r.ran or r.cls.effect is i.Effect.SAFE
            self.acts.append(i.Refuse(r.ask.request, wait) if harmless else i.Fail(r.ask.request))
        self._drop_held(r)
        self.open_requests.pop(r.ask.request, None)

    def _again(self, r: Open) -> None:  # its attempt got lost: another instead
        seq, server = next(iter(r.out.items()))
        self.acts.append(i.Cancel(r.ask.request, seq))
        r.given_up.add(seq)
        self.lossy_us = self.now_us
        if self._uncount(r, seq):
            self._drop_held(r)
            return self._start(r)
        r.ran, r.pinned_us = True, self.now_us
        r.avoid.add(server.entry.server)
        return self._next(r)

    def _sweep(self) -> None:
        self.sweep_set = False
        for r in [r for r in self.open_requests.values() if self._overdue(r)]:
            for server in (s for s in r.out.values() if s.role is i.Role.READ):
                # Its tokens hardly wait there still: counted on, one lost read kept all others away.
                server.pending_tokens, r.new = server.pending_tokens - r.new, 0.0
            if self._lost(r):
                self._again(r)
        waiting = [r for r in self.open_requests.values() if not r.out]
        for r in sorted(waiting, key=lambda r: -r.cls.worth):  # the scarce room to the most worth
            if self.now_us >= r.ask.expires_us - 2 * SWEEP_US:
                self._end(r, "time")
            elif r.pinned_us and self.now_us - r.pinned_us < self.settings.release_us / 2:
                self._next(r)
            elif self.now_us - r.waits_us > WAIT_AIM_PART * r.aim_us and not r.ask.resumed:
                # The rest of a broken stream is waited for: refused, the part that was written is lost too,
                # and when a router ends all its streams come to the others at one moment.
                self._end(r, "late")
            else:
                if r.pinned_us:
                    self._drop_held(r)
                self._start(r)
