"""Lifecycle of a request: read, write, wait, retry, final answer, and release of what is held for it.

A read is the prefill stage, a write the decode stage. Held are a state (the KV cache that a read leaves until
the writer has fetched it) and a place (memory reserved at a writer). The final answer, served, refused or
failed, ends a request. An attempt is one send of a request's stage to one server.
"""

from __future__ import annotations

from yardspindle import interface as i
from yardspindle.policy.state import (
    MAX_KEYS,
    MAX_TENANTS,
    MIN_KEYS_PER_SERVER,
    SWEEP_INTERVAL_US,
    OpenRequest,
    Server,
)
from yardspindle.policy.writers import WriterSelection

# Shortest time for which a full server gets no more of the tenant's (customer's) requests: about the
# time of a few tokens.
MIN_FULL_PAUSE_US = 100_000
# The pause is at least this multiple of the time that the refusal took, so that requests spend little of
# their time on refusals.
FULL_PAUSE_FACTOR = 20
# Most writers that are asked for a place during one read: each call loads a server as a probe does.
MAX_PLACE_REQUESTS = 4
# Fraction of the latency target (aim) that a request may wait before its read; the rest is for the work.
MAX_WAIT_AIM_FRACTION = 0.2
# `Outcome.note` of an attempt that did not succeed: no state is held for the request any more.
NOTE_NO_STATE = 1
MEAN_WEIGHT = 0.1  # weight of a new observation in the exponentially weighted means
LOG_INTERVAL_US = 5_000_000  # least time between log lines on requests that the policy gave up


class RequestLifecycle(WriterSelection):
    """Takes each request from its arrival to its final answer."""

    def _accept(self, arrival: i.Request) -> None:
        cls = self.classes[arrival.cls]
        aim_us = cls.aim_us + cls.aim_us_per_1000_prompt_tokens * arrival.prompt_tokens / 1000
        key = arrival.prefix or arrival.session or str(arrival.request)
        self._count_arrival(arrival)
        request = self.open_requests[arrival.request] = OpenRequest(
            arrival, cls, aim_us, key, admission_draw=self.random.random() * self._surge()
        )
        self._count_key(key)
        self._start_read(request)

    def _send(self, request: OpenRequest, server: Server) -> None:
        self._record_send(
            request, server, request.home_writer if server.role is i.Role.WRITE else request.home_reader
        )
        server.in_flight[(request.arrival.request, request.attempts)] = self.now_us
        request.in_flight[request.attempts] = server
        # `held_since_us` is the time since which something is held with no attempt in flight.
        request.attempts, request.held_since_us = request.attempts + 1, 0
        self.actions.append(i.Send(request.arrival.request, server.entry.server))

    def _start_read(self, request: OpenRequest) -> None:
        """Send the request to a reader and request a place at a writer, or let it wait."""
        # Two attempts are needed: a read and a write.
        if (
            request.attempts + 2 > self.settings.max_attempts
            or self.now_us >= request.arrival.expires_us - self.settings.tick_us
        ):
            return self._end(request, "time")
        request.reader = reader = self._choose_reader(request)
        if reader is not None and reader.role is i.Role.BOTH:
            return self._start_write(request, reader)  # a mixed server does both stages
        writer = self._choose_writer(request)
        # While no reader is listed as serving, writers may run both stages.
        if (
            writer is not None
            and reader is None
            and self.settings.writers_read
            and not any(self._reader_order(request.key))
        ):
            return self._start_write(request, writer)
        if writer is None or reader is None:
            return self._wait(request)
        reader.pending_tokens += request.uncached_tokens
        request.backlog_tokens = reader.pending_tokens
        self._send(request, reader)
        if self.settings.ahead:
            self._request_place(request, writer)
        return None

    def _request_place(self, request: OpenRequest, writer: Server) -> None:
        request.place_writer = writer
        self._count_stream(request, writer, 1)
        self.actions.append(i.Ahead(request.arrival.request, writer.entry.server))

    def _start_write(self, request: OpenRequest, server: Server) -> None:
        self._clear_place(request)
        self._count_stream(request, server, 1)
        self._send(request, server)

    def _count_stream(self, request: OpenRequest, writer: Server, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) a stream or place of this router at a writer."""
        writer.streams += sign
        self.held_tokens += sign * request.arrival.prompt_tokens

    def _clear_place(self, request: OpenRequest) -> None:
        if request.place_writer is not None:
            self._count_stream(request, request.place_writer, -1)
            request.place_writer = None

    def _remove_attempt(self, request: OpenRequest, attempt: int) -> bool:
        """Remove an attempt that has ended from all counts; return whether it was a read."""
        server = request.in_flight.pop(attempt)
        sent_us = server.in_flight.pop((request.arrival.request, attempt), None)
        if server.role is i.Role.READ:
            server.pending_tokens -= request.uncached_tokens
            return True
        # If its answer had not begun, moving a state out of the reader's cell may take at least so long.
        self._record_cell_delay(request, server, sent_us, first=False)
        self._count_stream(request, server, -1)
        return False

    def _write_or_wait(self, request: OpenRequest) -> None:
        """After a read, or when a writer refused: send the request to a writer, or let it wait."""
        if (
            self.now_us >= request.arrival.expires_us - self.settings.tick_us
            or request.attempts >= self.settings.max_attempts
        ):
            return self._end(request, "time")
        if (
            request.place_writer is not None
            and self._usable(request.place_writer, request)
            and self._admits(request, request.place_writer, request.home_writer)
        ):
            return self._start_write(request, request.place_writer)
        request.full_writers.clear()  # those that refused a place during the read may have room by now
        if (writer := self._choose_writer(request)) is not None:
            return self._start_write(request, writer)
        request.held_since_us = request.held_since_us or self.now_us
        return self._wait(request)

    def _wait(self, request: OpenRequest) -> None:
        """Let the request wait for the next sweep, as none can take it now; end it if it expires before."""
        request.waiting_since_us = request.waiting_since_us or self.now_us
        if self.now_us >= request.arrival.expires_us - 2 * SWEEP_INTERVAL_US:
            self._end(request, "time")

    def _handle_progress(self, request: OpenRequest, event: i.First | i.Note | i.Hangup) -> None:
        if isinstance(event, i.Hangup):
            self._end(request, None)
        elif isinstance(event, i.First) and event.attempt in request.in_flight:
            server = request.in_flight[event.attempt]
            sent_us = server.in_flight.pop((event.request, event.attempt), None)
            self._record_cell_delay(request, server, sent_us, first=True)
            self._record_answer(server, request, sent_us)
            request.held_since_us = 0
        elif isinstance(event, i.Note) and not event.held and request.place_writer is not None:
            # A refused place is the only certain sign of a full writer: request one at another writer while
            # the read goes on. (The event's server is the reader.)
            request.full_writers.add(request.place_writer.entry.server)
            self.last_place_refused_us = self.now_us
            self._clear_place(request)
            if (
                len(request.full_writers) < MAX_PLACE_REQUESTS
                and request.in_flight
                and (writer := self._choose_writer(request)) is not None
            ):
                self._request_place(request, writer)

    def _handle_outcome(self, event: i.Outcome) -> None:
        server, request = self.servers[event.server], self.open_requests.get(event.request)
        status = event.status
        if status is i.Status.FULL and event.note == 0 and request is not None:
            # The server had no room (with NOTE_NO_STATE it found no state for the write). It may refuse one
            # tenant though it has room for others, so it is paused for that tenant only.
            times_full = server.full_by_tenant.get(request.arrival.tenant, (0, 0))[1]
            pause_us = max(MIN_FULL_PAUSE_US, FULL_PAUSE_FACTOR * event.latency_us) * (times_full + 1)
            if len(server.full_by_tenant) >= MAX_TENANTS:  # clients choose the names: forget the oldest
                del server.full_by_tenant[next(iter(server.full_by_tenant))]
            server.full_by_tenant[request.arrival.tenant] = self.now_us + pause_us, times_full + 1
        elif status in (i.Status.CONNECT_FAILED, i.Status.RESET) and not event.stale:
            # Not if stale: a pooled connection that broke under its next request, or one that was reset
            # during connect, shows that connections break, not that the server died.
            self._eject(server, status.value)
        elif status is i.Status.TIMEOUT and event.note == NOTE_NO_STATE:
            # The writer did not answer within the time for which the state may be held, so the state was
            # released. The writer may be unresponsive to everyone; docs/on-call.md names this reason.
            self._eject(server, "silent")
        if event.stale:
            self.last_loss_us = self.now_us  # for some time, late readers get trial requests
        sent_us = self.now_us - event.latency_us
        if (
            status is i.Status.TIMEOUT
            and server.role is i.Role.READ
            and sent_us >= server.last_answered_send_us
        ):
            # A read that timed out shows that its reader is slow, unless one sent later was answered: then it
            # may have been lost on the way. The reader is avoided for a while.
            server.delay_us, server.delay_seen_us = (
                self._avoidance_time(max(event.latency_us, self.min_aim_us)),
                self.now_us,
            )
        if request is None:
            if status is i.Status.READ:  # the request has ended: release the state that this read left
                self.actions.append(i.Discard(event.request))
            return None
        is_read_attempt = event.attempt in request.in_flight and self._remove_attempt(request, event.attempt)
        if event.closed:  # this has given the request its final answer
            return self._end(request, None)
        if event.attempt in request.cancelled_attempts:
            return None  # a state that it may have left is released when the request ends
        if is_read_attempt:
            if status is i.Status.READ:
                self._record_answer(server, request, sent_us)
                self._record_read(server, event, request)
                request.held_since_us = self.now_us
                return self._write_or_wait(request)
            request.excluded_servers.add(event.server)
            if status is i.Status.CANCELLED and request.place_writer is not None:
                # Either the reader or the writer with the place is unresponsive; it is not known which.
                request.excluded_servers.add(request.place_writer.entry.server)
            if status is i.Status.CONNECT_FAILED and not event.stale:
                request.unreachable_zones.add(server.entry.zone)
            self._release_held(request)
            return self._start_read(request)
        # It has not run if it was not connected, was declined (FULL) or was not sent in full (MOOT).
        if status not in (i.Status.CONNECT_FAILED, i.Status.FULL, i.Status.MOOT):
            request.may_have_run = True
            # Requests with an idempotency key (KEYED) are not repeated either: a server that does not know
            # the key, or has forgotten it, would run them again.
            if request.cls.effect is not i.Effect.SAFE:
                return self._end(request, "fail")
        if event.note == NOTE_NO_STATE or request.reader is None:
            # There is no state left, or it could not be held any longer, as no writer had answered; or there
            # was none, as without a reader the writer was to run both stages.
            self._release_held(request)
            return self._start_read(request)
        request.held_since_us = self.now_us
        request.excluded_servers.add(event.server)
        return self._write_or_wait(request)

    def _record_read(self, server: Server, event: i.Outcome, request: OpenRequest) -> None:
        """Update cached prefixes, read rate and delays from a completed read."""
        tokens = max(request.arrival.prompt_tokens - event.note, 1.0)  # note: tokens that were cached
        self._remember_text(server, request.arrival.prefix, request.arrival.prefix_tokens)
        self._remember_text(server, request.arrival.session, request.arrival.prompt_tokens)
        self.mean_read_us += MEAN_WEIGHT * (event.latency_us - self.mean_read_us)
        self.mean_backlog_tokens += MEAN_WEIGHT * (request.backlog_tokens - self.mean_backlog_tokens)
        self.max_read_rate = max(self.max_read_rate, tokens / max(event.latency_us, self.settings.tick_us))
        self.mean_service_us += MEAN_WEIGHT * (tokens / self.max_read_rate - self.mean_service_us)
        server.delay_us, server.delay_seen_us = (
            self._avoidance_time(event.latency_us - tokens / self.max_read_rate),
            self.now_us,
        )

    def _remember_text(self, server: Server, key: str | None, tokens: float) -> None:
        """Note that a server has cached a text; beyond its part of MAX_KEYS the oldest is dropped."""
        texts = server.cached_tokens
        texts.pop(key or "", None)
        texts[key or ""] = tokens
        readers = max(self.serving_by_role.total() - self.serving_by_role[i.Role.WRITE], 1)
        while len(texts) > max(MAX_KEYS // readers, MIN_KEYS_PER_SERVER):
            del texts[next(iter(texts))]

    def _release_held(self, request: OpenRequest) -> None:
        """Release every state and place that is held for the request."""
        self._clear_place(request)
        self.actions.append(i.Discard(request.arrival.request))
        request.held_since_us = 0

    def _end(self, request: OpenRequest, why: str | None) -> None:
        """End a request: cancel its attempts, answer it (unless `why` is None), release and forget it.

        `why` is logged, and named in docs/on-call.md: `time`, it expired or has no attempt left; `late`, it
        waited too long for a server; `fail`, it may have run and must not be repeated.
        """
        for attempt in list(request.in_flight):
            request.may_have_run = not self._remove_attempt(request, attempt) or request.may_have_run
            if self.settings.cancel:
                self.actions.append(i.Cancel(request.arrival.request, attempt))
        if why is not None:
            if self.now_us >= self.next_log_us:
                self.next_log_us = self.now_us + LOG_INTERVAL_US
                self.actions.append(i.Log(f"giving up requests: {why}"))
            retry_after_us = self.settings.max_retry_after_us if self.settings.retry_after else 0
            repeatable = not request.may_have_run or request.cls.effect is i.Effect.SAFE
            self.actions.append(
                i.Refuse(request.arrival.request, retry_after_us)
                if repeatable
                else i.Fail(request.arrival.request)
            )
        self._release_held(request)
        self.open_requests.pop(request.arrival.request, None)

    def _retry_lost(self, request: OpenRequest) -> None:
        """Cancel the attempt, which has probably not reached its server (`_attempt_lost`); make another."""
        # A request has at most one attempt in flight.
        attempt, server = next(iter(request.in_flight.items()))
        self.actions.append(i.Cancel(request.arrival.request, attempt))
        request.cancelled_attempts.add(attempt)
        self.last_loss_us = self.now_us
        if self._remove_attempt(request, attempt):
            self._release_held(request)
            return self._start_read(request)
        request.may_have_run, request.held_since_us = True, self.now_us
        request.excluded_servers.add(server.entry.server)
        return self._write_or_wait(request)

    def _sweep(self) -> None:
        """Check overdue attempts, then retry or give up the requests that wait."""
        self.sweep_pending = False
        for request in [request for request in self.open_requests.values() if self._overdue(request)]:
            for server in (s for s in request.in_flight.values() if s.role is i.Role.READ):
                # An overdue read is probably no longer queued there, so its tokens no longer count as
                # pending; otherwise one lost read would keep all others away.
                server.pending_tokens, request.uncached_tokens = (
                    server.pending_tokens - request.uncached_tokens,
                    0.0,
                )
            if self._attempt_lost(request):
                self._retry_lost(request)
        waiting = [request for request in self.open_requests.values() if not request.in_flight]
        # The most valuable requests get the scarce capacity first.
        for request in sorted(waiting, key=lambda request: -request.cls.worth):
            if self.now_us >= request.arrival.expires_us - 2 * SWEEP_INTERVAL_US:
                self._end(request, "time")
            elif request.held_since_us and self.now_us - request.held_since_us < self.settings.release_us / 2:
                # Later, what is held is released; the other half of the time is margin for the release.
                self._write_or_wait(request)
            elif (
                self.now_us - request.waiting_since_us > MAX_WAIT_AIM_FRACTION * request.aim_us
                and not request.arrival.resumed
            ):
                # The remainder of a broken stream waits instead: refusing it also loses the part that its
                # client has received. When a router stops, all its streams reach the other routers at the
                # same moment, so that some of them have to wait.
                self._end(request, "late")
            else:
                if request.held_since_us:
                    self._release_held(request)
                self._start_read(request)
