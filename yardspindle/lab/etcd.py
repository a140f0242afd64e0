"""A stand-in for etcd's JSON gateway: the store model of core/fleet/kv.py behind HTTP, with a journal and faults.

`POST /lab/control` with `{"do": ...}` injects or ends a fault: `no_leader` and `leader`; `late` (delay each
answer by `ms`); `lose` (carry out each of the next `count` calls that write, then reset its connection instead of
answering); `break_watches`; `expire` (all leases end early, as on a change of leader); `compact`; `mark` and `restore`
(save the data, return to it); `stale_reads` (serializable reads see the data that `mark` saved).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec
from msgspec import Struct

from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.fleet.kv import BadRequest, Change, Changes, Compacted, Txn, range_contains
from yardspindle.core.fleet.kv_model import StoreModel
from yardspindle.fleet.store import etcd_json as j
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import Signal
from yardspindle.runtime.world import StreamError, World

CONTROL = b"/lab/control"
LEASE_CHECK_INTERVAL_US = 10_000  # between checks for expired leases
PATHS = (
    j.RANGE_PATH,
    j.TXN_PATH,
    j.LEASE_GRANT_PATH,
    j.LEASE_KEEP_ALIVE_PATH,
    j.LEASE_REVOKE_PATH,
    j.LEASE_TTL_PATH,
    j.COMPACT_PATH,
    j.WATCH_PATH,
    CONTROL,
)


class EtcdControl(Struct, forbid_unknown_fields=True):
    """A fault to inject or to end; the module's docstring lists them."""

    do: Literal[
        "no_leader", "leader", "late", "lose", "break_watches", "expire", "compact", "mark", "restore", "stale_reads"
    ]
    ms: float = 0.0  # for "late"
    count: int = 0  # for "lose"
    on: bool = True  # for "stale_reads": begin or end


@dataclass(slots=True)
class OpenWatch:
    """An open watch on a key, or on the range from `key` to `end`."""

    key: bytes
    end: bytes
    pending: list[bytes] = field(default_factory=list)
    wakeup: Signal | None = None
    closed: bool = False


class EtcdStandIn:
    """An etcd cluster of one member; serves HTTP requests as a `Handler` (api/exchange.py)."""

    def __init__(self, world: World, journal: str = "") -> None:
        """`world`: the interface to clock, sockets and files. Opens no sockets before `start`."""
        self.world = world
        self.model = StoreModel()
        self.journal = journal
        self.watches: list[OpenWatch] = []
        self.leaderless = False
        self.late_us = 0
        self.responses_to_lose = 0
        self.saved_model: StoreModel | None = None
        self.stale_reads = False
        self.cluster_id = world.random("cluster").getrandbits(62) or 1
        self._notified_revision = self.model.revision

    def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen and serve. Raises OSError."""
        listener = self.world.listen(host, port)
        self.world.spawn("accept", Server(self.world, listener, self, ServingLimits(), self._record_fault).serve)
        self.world.spawn("leases", self._expire_leases)
        return listener.host, listener.port

    def record(self, event: str, **more: object) -> None:
        """Append an event to the journal, without buffering."""
        if self.journal:
            line = {"t": self.world.now_us(), "ev": event, "revision": self.model.revision, **more}
            self.world.append_file(self.journal, msgspec.json.encode(line) + b"\n")

    def _record_fault(self, fault: BaseException) -> None:
        if not isinstance(fault, StreamError):
            self.record("fault", text=f"{type(fault).__name__}: {fault}")

    def _expire_leases(self) -> None:
        while True:
            now = self.world.now_us()
            expired = [n for n, lease in self.model.leases.items() if lease.expires_us <= now]
            if expired:
                self.model.expire(now)
                self.record("expired", leases=expired)
                self._notify_watches()
            self.world.sleep_until(now + LEASE_CHECK_INTERVAL_US)

    # --- routes

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """The reply to a request that is answered without reading its body, or None (Handler)."""
        if head.method != b"POST" or head.target not in PATHS:
            return ApiError(404, "not_found", "Not Found").reply()
        return None

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not a valid request (Handler)."""
        return ApiError(error.status, "malformed_request", error.reason).reply()

    def handle(self, exchange: Exchange) -> None:
        """Answer a request (Handler)."""
        target, body = exchange.head.target, exchange.body
        if target == CONTROL:
            self._control(msgspec.json.decode(body, type=EtcdControl))
            return exchange.reply(Reply(200, [JSON_CONTENT_TYPE], b"{}"))
        if self.late_us:
            self.world.sleep_until(self.world.now_us() + self.late_us)
        if self.leaderless:
            return self._error(exchange, target, body, BadRequest(14, "etcdserver: no leader"))
        if target == j.WATCH_PATH:
            return self._watch(exchange, j.decode(body, j.WatchRequest).create_request)
        try:
            answer = self._answer(target, body)
        except BadRequest as error:
            return self._error(exchange, target, body, error)
        except Compacted:
            return self._error(
                exchange, target, body, BadRequest(11, "etcdserver: mvcc: required revision has been compacted")
            )
        except j.MalformedMessage as error:
            return self._error(exchange, target, body, BadRequest(3, str(error)))
        self._notify_watches()
        lost = self.responses_to_lose > 0 and target not in (j.RANGE_PATH, j.LEASE_TTL_PATH)
        self.record("call", path=target.decode(), call=msgspec.Raw(body), answer=msgspec.Raw(answer), lost=lost)
        if lost:
            self.responses_to_lose -= 1
            exchange.stream.abort()
            return None
        exchange.reply(Reply(200, [JSON_CONTENT_TYPE], answer))
        return None

    def _error(self, exchange: Exchange, target: bytes, body: bytes, error: BadRequest) -> None:
        self.record("refused", path=target.decode(), call=msgspec.Raw(body), code=error.code, text=str(error))
        # HTTP status by gRPC code: invalid argument, not found, failed precondition, out of range, unavailable.
        status = {3: 400, 5: 404, 9: 400, 11: 400, 14: 503}.get(error.code, 500)
        exchange.reply(
            Reply(status, [JSON_CONTENT_TYPE], msgspec.json.encode(j.ErrorResponse(str(error), error.code, str(error))))
        )

    def _header(self) -> j.ResponseHeader:
        return j.ResponseHeader(str(self.cluster_id), "1", str(self.model.revision), "2")

    def _answer(self, target: bytes, body: bytes) -> bytes:
        now, model = self.world.now_us(), self.model
        reply: Struct
        match target:
            case j.RANGE_PATH:
                call = j.decode(body, j.RangeRequest)
                if call.serializable and self.stale_reads and self.saved_model is not None:
                    model = self.saved_model
                rows = model.range(j.decode_base64(call.key), j.decode_base64(call.range_end), int(call.revision))
                head = j.ResponseHeader(str(self.cluster_id), "1", str(rows.revision), "2")
                reply = j.RangeResponse(head, [j.encode_row(row) for row in rows.rows], count=str(len(rows.rows)))
            case j.TXN_PATH:
                txn: Txn = j.decode_txn(body)
                return j.encode_txn_result(txn, model.txn(txn), self._header())
            case j.LEASE_GRANT_PATH:
                lease_call = j.decode(body, j.LeaseRequest)
                lease = model.grant(now, int(lease_call.TTL), int(lease_call.ID))
                reply = j.LeaseResponse(self._header(), str(lease), str(model.leases[lease].ttl_us // 1_000_000))
            case j.LEASE_KEEP_ALIVE_PATH:
                lease = int(j.decode(body, j.LeaseRequest).ID)
                reply = j.KeepAliveMessage(
                    j.LeaseResponse(self._header(), str(lease), str(model.keep_alive(now, lease)))
                )
            case j.LEASE_REVOKE_PATH:
                model.revoke(int(j.decode(body, j.LeaseRequest).ID))
                reply = j.LeaseResponse(self._header())
            case j.LEASE_TTL_PATH:
                lease = int(j.decode(body, j.LeaseRequest).ID)
                reply = j.LeaseResponse(self._header(), str(lease), str(model.remaining_ttl_s(now, lease)))
            case _:
                model.compact(int(j.decode(body, j.RangeRequest).revision))
                reply = j.LeaseResponse(self._header())
        return msgspec.json.encode(reply)

    # --- watches

    def _watch(self, exchange: Exchange, call: j.WatchCreateRequest) -> None:
        key, end, since = j.decode_base64(call.key), j.decode_base64(call.range_end), int(call.start_revision)
        head = exchange.start(200, [JSON_CONTENT_TYPE])
        created = j.WatchMessage(j.WatchResponse(self._header(), created=True))
        exchange.send(msgspec.json.encode(created) + b"\n", head)
        try:
            missed = self.model.changes_since(key, end, since) if since else Changes(self.model.revision)
        except Compacted as error:
            cancelled = j.WatchResponse(self._header(), canceled=True, compact_revision=str(error.revision))
            return exchange.finish(msgspec.json.encode(j.WatchMessage(cancelled)) + b"\n")
        watch = OpenWatch(key, end)
        self.watches.append(watch)

        def on_disconnect() -> None:
            watch.closed = True
            if watch.wakeup is not None:
                watch.wakeup.set()

        exchange.on_disconnect = on_disconnect
        try:
            if missed.changes:
                exchange.send(j.encode_changes(missed, self._header()))
            while not watch.closed:
                if not watch.pending:
                    watch.wakeup = self.world.signal()
                    watch.wakeup.wait()
                    continue
                lines, watch.pending = watch.pending, []
                exchange.send(b"".join(lines))
            exchange.stream.abort()
        finally:
            self.watches.remove(watch)
        return None

    def _notify_watches(self) -> None:
        """Queue the changes since the last notification at the watches whose range they are in."""
        if self.model.revision == self._notified_revision:
            return
        new = self.model.changes_since(b"\0", b"\0", self._notified_revision + 1)
        self._notified_revision = self.model.revision
        for watch in self.watches:
            matching: tuple[Change, ...] = tuple(
                c
                for c in new.changes
                if (range_contains(watch.key, watch.end, c.row.key) if watch.end else c.row.key == watch.key)
            )
            if matching:
                watch.pending.append(j.encode_changes(Changes(new.revision, matching), self._header()))
                if watch.wakeup is not None:
                    watch.wakeup.set()

    # --- faults

    def inject_fault(self, do: str) -> None:
        """Inject a fault that needs no arguments, for a run in the same process."""
        self._control(msgspec.convert({"do": do}, EtcdControl))

    def _control(self, control: EtcdControl) -> None:
        self.record("control", do=control.do)
        match control.do:
            case "no_leader":
                self.leaderless = True
            case "leader":
                self.leaderless = False
            case "late":
                self.late_us = int(control.ms * 1_000)
            case "lose":
                self.responses_to_lose = control.count
            case "expire":
                for lease in list(self.model.leases):
                    self.model.revoke(lease)
                self._notify_watches()
            case "compact" if self.model.revision > self.model.compacted:
                self.model.compact(self.model.revision)
            case "mark":
                self.saved_model = self.model.copy()
            case "restore" if self.saved_model is not None:
                self.model = self.saved_model.copy()
                self._notified_revision = self.model.revision
                self._break_watches()
            case "stale_reads":
                self.stale_reads = control.on
            case "break_watches":
                self._break_watches()
            case _:
                pass

    def _break_watches(self) -> None:
        for watch in self.watches:
            watch.closed = True
            if watch.wakeup is not None:
                watch.wakeup.set()
