"""etcd v3 by its published JSON gateway, over the project's HTTP client: several endpoints, each call bounded.

Reads are linearizable (never `serializable`), so an answer that is behind one heard before the call was made proves
that the store went back, as after an old backup was restored; such a store is refused until this process restarts.
A write goes to another endpoint only when the first one proves that it did nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from yardspindle.core.fleet.kv import Changes, Compacted, RangeResult, Txn, TxnResult
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, NotSent, Response
from yardspindle.fleet.store import etcd_json as j
from yardspindle.fleet.store.interface import (
    InconsistentStore,
    KeepAliveResult,
    LeaseGrant,
    NotApplied,
    OutcomeUnknown,
    WatchBroken,
)
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded, Signal
from yardspindle.runtime.world import World

T = TypeVar("T")
JSON_HEADERS: http1.Headers = [(b"content-type", b"application/json")]
CONNECT_TIMEOUT_US = 300_000  # an endpoint that cannot be connected to costs no more before the next is tried
MAX_IDLE_US = 30_000_000
# gRPC codes by which nothing was done: invalid argument, not found, already exists, permission, precondition,
# out of range, unimplemented, unauthenticated. Any other may come after the leader took the request.
NOT_APPLIED_CODES = frozenset((3, 5, 6, 7, 9, 11, 12, 16))
NO_LEADER = "etcdserver: no leader"  # said before a request is proposed
COMPACTED = "required revision has been compacted"


class EtcdStore:
    """See Store."""

    def __init__(self, world: World, endpoints: Sequence[tuple[str, int]], call_us: int) -> None:
        """`call_us`: the bound of one call to one endpoint."""
        self._world = world
        self._endpoints = list(endpoints)
        self._at = 0
        self._call_us = call_us
        self._http = HttpClient(world, min(CONNECT_TIMEOUT_US, call_us), MAX_IDLE_US)
        self.last_revision = 0  # the highest revision heard
        self.cluster_id = 0
        self.call_count = 0
        self._refused = ""  # why this store is not used any more

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """See Store."""
        call = j.RangeRequest(j.encode_base64(key), j.encode_base64(end), str(revision) if revision else 0)
        reply = self._ask(j.RANGE_PATH, msgspec.json.encode(call), j.RangeResponse, writes=False)
        return RangeResult(int(reply.header.revision), tuple(j.decode_row(row) for row in reply.kvs))

    def txn(self, txn: Txn) -> TxnResult:
        """See Store."""
        data, before = self._call(j.TXN_PATH, j.encode_txn(txn), writes=True)
        try:
            answer = j.decode_txn_result(data)
            self._check_header(before, j.decode(data, j.TxnResponse).header)
        except j.MalformedMessage as error:
            raise OutcomeUnknown(f"the answer is malformed: {error}") from None
        return answer

    def grant(self, ttl_us: int) -> LeaseGrant:
        """See Store."""
        call = j.LeaseRequest(TTL=str(-(-ttl_us // 1_000_000)))
        reply = self._ask(j.LEASE_GRANT_PATH, msgspec.json.encode(call), j.LeaseResponse, writes=True)
        return LeaseGrant(int(reply.ID), int(reply.TTL) * 1_000_000)

    def keep_alive(self, lease: int) -> KeepAliveResult:
        """See Store."""
        reply = self._ask(
            j.LEASE_KEEP_ALIVE_PATH, msgspec.json.encode(j.LeaseRequest(ID=str(lease))), j.KeepAliveMessage, writes=True
        )
        return KeepAliveResult(int(reply.result.TTL) * 1_000_000, int(reply.result.header.revision))

    def revoke(self, lease: int) -> None:
        """See Store."""
        try:
            self._ask(
                j.LEASE_REVOKE_PATH, msgspec.json.encode(j.LeaseRequest(ID=str(lease))), j.LeaseResponse, writes=True
            )
        except NotApplied as error:
            if "requested lease not found" not in str(error):
                raise

    def remaining_ttl_us(self, lease: int) -> int:
        """See Store."""
        reply = self._ask(
            j.LEASE_TTL_PATH, msgspec.json.encode(j.LeaseRequest(ID=str(lease))), j.LeaseResponse, writes=False
        )
        left = int(reply.TTL)
        return left * 1_000_000 if left > 0 else left

    def watch(self, key: bytes, end: bytes, revision: int) -> EtcdWatch:
        """See Store."""
        call = j.WatchRequest(j.WatchCreateRequest(j.encode_base64(key), j.encode_base64(end), str(revision), True))
        response = self._respond(j.WATCH_PATH, msgspec.json.encode(call), False, self._world.signal())
        return EtcdWatch(self, response)

    # --- calls

    def _ask(self, target: bytes, body: bytes, kind: type[T], writes: bool) -> T:
        data, before = self._call(target, body, writes)
        try:
            reply = j.decode(data, kind)
        except j.MalformedMessage as error:
            raise (OutcomeUnknown if writes else NotApplied)(f"the answer is malformed: {error}") from None
        header = getattr(reply, "header", None) or getattr(getattr(reply, "result", None), "header", None)
        if header is not None:
            self._check_header(before, header)
        return reply

    def _call(self, target: bytes, body: bytes, writes: bool) -> tuple[bytes, int]:
        """An answer's body, and the highest revision heard before the call."""
        before = self.last_revision
        limit = self._world.deadline(self._world.now_us() + self._call_us * max(len(self._endpoints), 1))
        sent = self._world.signal()
        try:
            with limit:
                response = self._respond(target, body, writes, sent)
                try:
                    return response.read_all(), before
                except ExchangeBroken as error:
                    raise (OutcomeUnknown if writes else NotApplied)(f"broken off: {error}") from None
                finally:
                    response.close()
        except DeadlineExceeded:
            if not limit.passed:
                raise
            raise (OutcomeUnknown if writes and sent.is_set else NotApplied)("no answer in time") from None

    def _respond(self, target: bytes, body: bytes, writes: bool, sent: Signal) -> Response:
        """The first endpoint's answer that is one, its head read; each tried once. `sent`: set once one was asked."""
        why = "no endpoint"
        if self._refused:
            raise InconsistentStore(self._refused)
        for _ in range(len(self._endpoints)):
            host, port = self._endpoints[self._at]
            self.call_count += 1
            limit = self._world.deadline(self._world.now_us() + self._call_us)
            try:
                with limit:
                    response = self._http.request(host, port, b"POST", target, JSON_HEADERS, body, sent.set)
                    if response.head.status == 200:
                        return response
                    error = j.decode_error(response.read_all())
                    response.close()
            except (ConnectError, NotSent) as broken:
                why = str(broken)
            except ExchangeBroken as broken:
                if writes:
                    self._next()
                    raise OutcomeUnknown(str(broken)) from None
                why = str(broken)
            except DeadlineExceeded:
                if not limit.passed:
                    raise
                if writes and sent.is_set:
                    self._next()
                    raise OutcomeUnknown("no answer in time") from None
                why = "no answer in time" if sent.is_set else "no connection in time"
            else:
                why = f"{error.code}: {error}"
                if COMPACTED in why:
                    raise Compacted(0)
                if error.code in NOT_APPLIED_CODES:
                    raise NotApplied(why)
                if writes and str(error) != NO_LEADER:
                    self._next()
                    raise OutcomeUnknown(why)
            self._next()
        raise NotApplied(why)

    def _next(self) -> None:
        self._at = (self._at + 1) % max(len(self._endpoints), 1)

    def _check_header(self, before: int, header: j.ResponseHeader) -> None:
        """Refuse an answer from before what was heard, or from another cluster."""
        revision, cluster = int(header.revision), int(header.cluster_id)
        if self.cluster_id and cluster and cluster != self.cluster_id:
            self._refused = f"the store is another cluster ({cluster}, was {self.cluster_id})"
        elif revision < before:
            self._refused = f"the store stands at revision {revision}; it had told {before}"
        if self._refused:
            raise InconsistentStore(self._refused)
        self.cluster_id = cluster or self.cluster_id
        self.last_revision = max(self.last_revision, revision)


class EtcdWatch:
    """See Watch."""

    def __init__(self, gateway: EtcdStore, response: Response) -> None:
        """Take over the stream."""
        self._gateway = gateway
        self._response = response
        self._buffer = b""

    def next(self) -> Changes:
        """See Watch."""
        while True:
            line, found, rest = self._buffer.partition(b"\n")
            if not found:
                self._buffer += self._piece()
                continue
            self._buffer = rest
            if not line.strip():
                continue
            try:
                stream = j.decode(line, j.WatchMessage)
            except j.MalformedMessage as error:
                raise WatchBroken(f"malformed: {error}") from None
            if stream.error is not None or stream.result is None:
                raise WatchBroken(stream.error.message if stream.error is not None else "neither result nor error")
            reply = stream.result
            if int(reply.compact_revision):
                raise Compacted(int(reply.compact_revision))
            if reply.canceled:
                raise WatchBroken(reply.cancel_reason or "cancelled")
            self._gateway._check_header(0, reply.header)
            # That a watch stands says how far the store is, not how far the watch: what lies before is still to come.
            return Changes(0) if reply.created else j.decode_changes(reply)

    def _piece(self) -> bytes:
        try:
            piece = self._response.read()
        except ExchangeBroken as error:
            raise WatchBroken(str(error)) from None
        if piece is None:
            raise WatchBroken("the stream ended")
        return piece

    def close(self) -> None:
        """See Watch."""
        self._response.close()
