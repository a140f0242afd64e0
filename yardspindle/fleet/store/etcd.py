"""The fleet's key-value store in etcd v3, through its JSON gateway: several endpoints, each call bounded in time.

Reads are linearizable (never `serializable`). An answer with a lower revision than one received before the call
therefore proves that the store lost data, for example because an old backup was restored; such a store is not used
until this process restarts. A write is retried at another endpoint only if the first one proves that it did nothing.
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
CONNECT_TIMEOUT_US = 300_000  # an endpoint without a connection by then is skipped
MAX_IDLE_US = 30_000_000  # a connection that was idle for longer is closed, not used again
# gRPC codes that prove that nothing was done: invalid argument, not found, already exists, permission denied,
# failed precondition, out of range, unimplemented, unauthenticated. Any other can also follow after the leader has
# accepted the request.
NOT_APPLIED_CODES = frozenset((3, 5, 6, 7, 9, 11, 12, 16))
NO_LEADER = "etcdserver: no leader"  # the error of a member that has not proposed the request
COMPACTED = "required revision has been compacted"


class EtcdStore:
    """Implements Store with an etcd cluster."""

    def __init__(self, world: World, endpoints: Sequence[tuple[str, int]], call_us: int) -> None:
        """`world`: the interface to clock, sockets and files. `call_us` bounds one call to one endpoint."""
        self._world = world
        self._endpoints = list(endpoints)
        self._endpoint_index = 0
        self._call_us = call_us
        self._http = HttpClient(world, min(CONNECT_TIMEOUT_US, call_us), MAX_IDLE_US)
        self.last_revision = 0  # the highest revision received
        self.cluster_id = 0
        self.call_count = 0
        self._refusal_reason = ""  # why this store must no longer be used; empty while it may

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        """The rows of a range of keys, at the current or a given revision (Store)."""
        call = j.RangeRequest(j.encode_base64(key), j.encode_base64(end), str(revision) if revision else 0)
        reply = self._request(j.RANGE_PATH, msgspec.json.encode(call), j.RangeResponse, is_write=False)
        return RangeResult(int(reply.header.revision), tuple(j.decode_row(row) for row in reply.kvs))

    def txn(self, txn: Txn) -> TxnResult:
        """Execute a transaction atomically (Store)."""
        data, min_revision = self._call(j.TXN_PATH, j.encode_txn(txn), is_write=True)
        try:
            result = j.decode_txn_result(data)
            self._check_header(min_revision, j.decode(data, j.TxnResponse).header)
        except j.MalformedMessage as error:
            raise OutcomeUnknown(f"the answer is malformed: {error}") from None
        return result

    def grant(self, ttl_us: int) -> LeaseGrant:
        """Create a lease of at least the given time (Store)."""
        call = j.LeaseRequest(TTL=str(-(-ttl_us // 1_000_000)))
        reply = self._request(j.LEASE_GRANT_PATH, msgspec.json.encode(call), j.LeaseResponse, is_write=True)
        return LeaseGrant(int(reply.ID), int(reply.TTL) * 1_000_000)

    def keep_alive(self, lease: int) -> KeepAliveResult:
        """Restart a lease's time to live (Store)."""
        reply = self._request(
            j.LEASE_KEEP_ALIVE_PATH,
            msgspec.json.encode(j.LeaseRequest(ID=str(lease))),
            j.KeepAliveMessage,
            is_write=True,
        )
        return KeepAliveResult(int(reply.result.TTL) * 1_000_000, int(reply.result.header.revision))

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys (Store)."""
        try:
            self._request(
                j.LEASE_REVOKE_PATH, msgspec.json.encode(j.LeaseRequest(ID=str(lease))), j.LeaseResponse, is_write=True
            )
        except NotApplied as error:
            if "requested lease not found" not in str(error):
                raise

    def remaining_ttl_us(self, lease: int) -> int:
        """The remaining time of a lease; -1 if it has ended (Store)."""
        reply = self._request(
            j.LEASE_TTL_PATH, msgspec.json.encode(j.LeaseRequest(ID=str(lease))), j.LeaseResponse, is_write=False
        )
        left = int(reply.TTL)
        return left * 1_000_000 if left > 0 else left

    def watch(self, key: bytes, end: bytes, revision: int) -> EtcdWatch:
        """Watch a range of keys from a revision on (Store)."""
        call = j.WatchRequest(j.WatchCreateRequest(j.encode_base64(key), j.encode_base64(end), str(revision), True))
        response = self._send(j.WATCH_PATH, msgspec.json.encode(call), False, self._world.signal())
        return EtcdWatch(self, response)

    # --- calls

    def _request(self, target: bytes, body: bytes, kind: type[T], is_write: bool) -> T:
        data, min_revision = self._call(target, body, is_write)
        try:
            reply = j.decode(data, kind)
        except j.MalformedMessage as error:
            raise (OutcomeUnknown if is_write else NotApplied)(f"the answer is malformed: {error}") from None
        # The answer to a keep-alive is a stream's message, which wraps the response in `result`.
        header = getattr(reply, "header", None) or getattr(getattr(reply, "result", None), "header", None)
        if header is not None:
            self._check_header(min_revision, header)
        return reply

    def _call(self, target: bytes, body: bytes, is_write: bool) -> tuple[bytes, int]:
        """The response body, and the highest revision received before the call."""
        min_revision = self.last_revision
        limit = self._world.deadline(self._world.now_us() + self._call_us * max(len(self._endpoints), 1))
        sent = self._world.signal()
        try:
            with limit:
                response = self._send(target, body, is_write, sent)
                try:
                    return response.read_all(), min_revision
                except ExchangeBroken as error:
                    raise (OutcomeUnknown if is_write else NotApplied)(f"the answer was interrupted: {error}") from None
                finally:
                    response.close()
        except DeadlineExceeded:
            if not limit.passed:
                raise
            raise (OutcomeUnknown if is_write and sent.is_set else NotApplied)("no answer in time") from None

    def _send(self, target: bytes, body: bytes, is_write: bool, sent: Signal) -> Response:
        """Try each endpoint once and return the first successful response with only its head read.

        `sent` is set when the request has been sent to an endpoint."""
        reason = "no endpoint"
        if self._refusal_reason:
            raise InconsistentStore(self._refusal_reason)
        for _ in range(len(self._endpoints)):
            host, port = self._endpoints[self._endpoint_index]
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
                reason = str(broken)
            except ExchangeBroken as broken:
                if is_write:
                    self._next_endpoint()
                    raise OutcomeUnknown(str(broken)) from None
                reason = str(broken)
            except DeadlineExceeded:
                if not limit.passed:
                    raise
                if is_write and sent.is_set:
                    self._next_endpoint()
                    raise OutcomeUnknown("no answer in time") from None
                reason = "no answer in time" if sent.is_set else "no connection in time"
            else:
                reason = f"{error.code}: {error}"
                if COMPACTED in reason:
                    raise Compacted(0)
                if error.code in NOT_APPLIED_CODES:
                    raise NotApplied(reason)
                if is_write and str(error) != NO_LEADER:
                    self._next_endpoint()
                    raise OutcomeUnknown(reason)
            self._next_endpoint()
        raise NotApplied(reason)

    def _next_endpoint(self) -> None:
        self._endpoint_index = (self._endpoint_index + 1) % max(len(self._endpoints), 1)

    def _check_header(self, min_revision: int, header: j.ResponseHeader) -> None:
        """Raise InconsistentStore if the answer is older than `min_revision` or from another cluster."""
        revision, cluster = int(header.revision), int(header.cluster_id)
        if self.cluster_id and cluster and cluster != self.cluster_id:
            self._refusal_reason = f"the store is another cluster ({cluster}, was {self.cluster_id})"
        elif revision < min_revision:
            self._refusal_reason = (
                f"the store is at revision {revision}, but an earlier answer had revision {min_revision}"
            )
        if self._refusal_reason:
            raise InconsistentStore(self._refusal_reason)
        self.cluster_id = cluster or self.cluster_id
        self.last_revision = max(self.last_revision, revision)


class EtcdWatch:
    """Implements Watch on a streamed response of the gateway."""

    def __init__(self, store: EtcdStore, response: Response) -> None:
        """Takes over `response`, which `close` closes."""
        self._store = store
        self._response = response
        self._buffer = b""

    def next(self) -> Changes:
        """Wait for the next changes of the watched range (Watch)."""
        while True:
            line, found, rest = self._buffer.partition(b"\n")
            if not found:
                self._buffer += self._read_chunk()
                continue
            self._buffer = rest
            if not line.strip():
                continue
            try:
                message = j.decode(line, j.WatchMessage)
            except j.MalformedMessage as error:
                raise WatchBroken(f"malformed: {error}") from None
            if message.error is not None or message.result is None:
                raise WatchBroken(message.error.message if message.error is not None else "neither result nor error")
            response = message.result
            if int(response.compact_revision):
                raise Compacted(int(response.compact_revision))
            if response.canceled:
                raise WatchBroken(response.cancel_reason or "cancelled")
            self._store._check_header(0, response.header)
            # The header of `created` has the store's revision, not the watch's: earlier changes are still to come.
            return Changes(0) if response.created else j.decode_changes(response)

    def _read_chunk(self) -> bytes:
        try:
            chunk = self._response.read()
        except ExchangeBroken as error:
            raise WatchBroken(str(error)) from None
        if chunk is None:
            raise WatchBroken("the stream ended")
        return chunk

    def close(self) -> None:
        """End the watch (Watch)."""
        self._response.close()
