"""The JSON of etcd's gateway: what goes to `/v3/...` and what comes back. Bytes in and out, no I/O.

As the gateway writes protobuf: field names in snake case, 64-bit integers as strings, bytes in base64, zero values
left out, enums by name. Both ends use it: the client, and the stand-in that serves the model.
"""

from __future__ import annotations

import base64
from typing import Any, Literal, TypeVar

import msgspec
from msgspec import Struct, field

from yardspindle.core.fleet.kv import (
    BadRequest,
    Change,
    Changes,
    Compare,
    Delete,
    Get,
    KeyValue,
    Op,
    Put,
    Relation,
    Target,
    Txn,
    TxnResult,
)

RANGE_PATH, TXN_PATH = b"/v3/kv/range", b"/v3/kv/txn"
LEASE_GRANT_PATH, LEASE_KEEP_ALIVE_PATH = b"/v3/lease/grant", b"/v3/lease/keepalive"
LEASE_REVOKE_PATH, LEASE_TTL_PATH = b"/v3/lease/revoke", b"/v3/lease/timetolive"
COMPACT_PATH, WATCH_PATH = b"/v3/kv/compaction", b"/v3/watch"

T = TypeVar("T")
JsonInt = int | str  # as the gateway reads both and writes strings
TARGETS: dict[Target, tuple[str, str]] = {
    "version": ("VERSION", "version"),
    "create": ("CREATE", "create_revision"),
    "mod": ("MOD", "mod_revision"),
    "value": ("VALUE", "value"),
    "lease": ("LEASE", "lease"),
}
RELATIONS: dict[Relation, str] = {"equal": "EQUAL", "greater": "GREATER", "less": "LESS", "not_equal": "NOT_EQUAL"}


class MalformedMessage(Exception):
    """What came is not what the gateway's description says."""


def encode_base64(data: bytes) -> str:
    """Bytes as JSON has them."""
    return base64.b64encode(data).decode()


def decode_base64(text: str) -> bytes:
    """Bytes from JSON. Raises Malformed."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise MalformedMessage("not base64") from None


class ResponseHeader(Struct):
    """With every answer."""

    cluster_id: JsonInt = 0
    member_id: JsonInt = 0
    revision: JsonInt = 0
    raft_term: JsonInt = 0


class JsonRow(Struct, omit_defaults=True):
    """A key."""

    key: str = ""
    create_revision: JsonInt = 0
    mod_revision: JsonInt = 0
    version: JsonInt = 0
    value: str = ""
    lease: JsonInt = 0


class RangeRequest(Struct, omit_defaults=True):
    """`/v3/kv/range`."""

    key: str = ""
    range_end: str = ""
    revision: JsonInt = 0
    serializable: bool = False


class RangeResponse(Struct, omit_defaults=True):
    """Its answer."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    kvs: list[JsonRow] = field(default_factory=list)
    more: bool = False
    count: JsonInt = 0


class PutRequest(Struct, omit_defaults=True):
    """An operation of a transaction."""

    key: str = ""
    value: str = ""
    lease: JsonInt = 0


class DeleteRangeRequest(Struct, omit_defaults=True):
    """An operation of a transaction."""

    key: str = ""
    range_end: str = ""


class RequestOp(Struct, omit_defaults=True):
    """One of the three."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class JsonCompare(Struct, omit_defaults=True):
    """A condition."""

    result: str = "EQUAL"
    target: str = "VERSION"
    key: str = ""
    version: JsonInt | None = None
    create_revision: JsonInt | None = None
    mod_revision: JsonInt | None = None
    value: str | None = None
    lease: JsonInt | None = None


class TxnRequest(Struct, omit_defaults=True):
    """`/v3/kv/txn`."""

    compare: list[JsonCompare] = field(default_factory=list)
    success: list[RequestOp] = field(default_factory=list)
    failure: list[RequestOp] = field(default_factory=list)


class ResponseOp(Struct, omit_defaults=True):
    """What an operation found."""

    response_range: RangeResponse | None = None
    response_put: dict[str, Any] | None = None
    response_delete_range: dict[str, Any] | None = None


class TxnResponse(Struct, omit_defaults=True):
    """Its answer."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    succeeded: bool = False
    responses: list[ResponseOp] = field(default_factory=list)


class LeaseRequest(Struct, omit_defaults=True):
    """`/v3/lease/...`."""

    ID: JsonInt = 0
    TTL: JsonInt = 0


class LeaseResponse(Struct, omit_defaults=True):
    """Its answer."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    ID: JsonInt = 0
    TTL: JsonInt = 0
    grantedTTL: JsonInt = 0


class KeepAliveMessage(Struct):
    """Keeping alive is a stream: each answer is wrapped."""

    result: LeaseResponse = field(default_factory=LeaseResponse)


class WatchCreateRequest(Struct, omit_defaults=True):
    """What is to be followed."""

    key: str = ""
    range_end: str = ""
    start_revision: JsonInt = 0
    progress_notify: bool = False


class WatchRequest(Struct, omit_defaults=True):
    """`/v3/watch`."""

    create_request: WatchCreateRequest = field(default_factory=WatchCreateRequest)


class WatchEvent(Struct, omit_defaults=True):
    """A change; PUT is the default and left out."""

    type: Literal["PUT", "DELETE"] = "PUT"
    kv: JsonRow = field(default_factory=JsonRow)


class WatchResponse(Struct, omit_defaults=True):
    """One answer of a watch."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    created: bool = False
    canceled: bool = False
    compact_revision: JsonInt = 0
    cancel_reason: str = ""
    events: list[WatchEvent] = field(default_factory=list)


class ErrorResponse(Struct, omit_defaults=True):
    """A call that failed: gRPC's code and words."""

    error: str = ""
    code: int = 2
    message: str = ""


class WatchMessage(Struct):
    """As it comes on the stream."""

    result: WatchResponse | None = None
    error: ErrorResponse | None = None


def encode_row(row: KeyValue) -> JsonRow:
    """A row as JSON has it."""
    return JsonRow(
        encode_base64(row.key),
        str(row.create),
        str(row.mod),
        str(row.version),
        encode_base64(row.value),
        str(row.lease),
    )


def decode_row(row: JsonRow) -> KeyValue:
    """A row from JSON."""
    return KeyValue(
        decode_base64(row.key),
        decode_base64(row.value),
        int(row.create_revision),
        int(row.mod_revision),
        int(row.version),
        int(row.lease),
    )


def encode_op(op: Op) -> RequestOp:
    """An operation as JSON has it."""
    match op:
        case Get(key, end):
            return RequestOp(request_range=RangeRequest(encode_base64(key), encode_base64(end)))
        case Put(key, value, lease):
            return RequestOp(request_put=PutRequest(encode_base64(key), encode_base64(value), str(lease)))
        case Delete(key, end):
            return RequestOp(request_delete_range=DeleteRangeRequest(encode_base64(key), encode_base64(end)))


def decode_op(call: RequestOp) -> Op:
    """An operation from JSON. Raises Malformed."""
    if call.request_range is not None:
        return Get(decode_base64(call.request_range.key), decode_base64(call.request_range.range_end))
    if call.request_put is not None:
        return Put(
            decode_base64(call.request_put.key), decode_base64(call.request_put.value), int(call.request_put.lease)
        )
    if call.request_delete_range is not None:
        return Delete(decode_base64(call.request_delete_range.key), decode_base64(call.request_delete_range.range_end))
    raise MalformedMessage("an operation that is none of the three")


def encode_txn(txn: Txn) -> bytes:
    """A transaction as JSON."""
    compare = []
    for c in txn.compare:
        target, name = TARGETS[c.target]
        want = encode_base64(c.expected) if isinstance(c.expected, bytes) else str(c.expected)
        call = JsonCompare(RELATIONS[c.relation], target, encode_base64(c.key))
        setattr(call, name, want)
        compare.append(call)
    return msgspec.json.encode(
        TxnRequest(compare, [encode_op(op) for op in txn.then], [encode_op(op) for op in txn.otherwise])
    )


def decode_txn(data: bytes) -> Txn:
    """A transaction from JSON. Raises Malformed."""
    call = decode(data, TxnRequest)
    compare = []
    for c in call.compare:
        target = next((name for name, (wire, _) in TARGETS.items() if wire == c.target), None)
        relation = next((name for name, wire in RELATIONS.items() if wire == c.result), None)
        if target is None or relation is None:
            raise MalformedMessage("a condition of no known kind")
        want = getattr(c, TARGETS[target][1])
        compare.append(
            Compare(
                decode_base64(c.key),
                target,
                relation,
                decode_base64(want or "") if target == "value" else int(want or 0),
            )
        )
    return Txn(tuple(compare), tuple(decode_op(op) for op in call.success), tuple(decode_op(op) for op in call.failure))


def encode_txn_result(txn: Txn, answer: TxnResult, header: ResponseHeader) -> bytes:
    """A transaction's answer as JSON."""
    replies = []
    for op, found in zip(txn.then if answer.succeeded else txn.otherwise, answer.results, strict=True):
        match op:
            case Get():
                replies.append(
                    ResponseOp(
                        response_range=RangeResponse(header, [encode_row(row) for row in found], count=str(len(found)))
                    )
                )
            case Put():
                replies.append(ResponseOp(response_put={}))
            case Delete():
                replies.append(ResponseOp(response_delete_range={}))
    return msgspec.json.encode(TxnResponse(header, answer.succeeded, replies))


def decode_txn_result(data: bytes) -> TxnResult:
    """A transaction's answer from JSON. Raises Malformed."""
    reply = decode(data, TxnResponse)
    found = tuple(
        tuple(decode_row(row) for row in r.response_range.kvs) if r.response_range else () for r in reply.responses
    )
    return TxnResult(int(reply.header.revision), reply.succeeded, found)


def encode_changes(changes: Changes, header: ResponseHeader) -> bytes:
    """Changes as one line of a watch."""
    events = [WatchEvent("DELETE" if c.removed else "PUT", encode_row(c.row)) for c in changes.changes]
    return msgspec.json.encode(WatchMessage(WatchResponse(header, events=events))) + b"\n"


def decode_changes(reply: WatchResponse) -> Changes:
    """Changes from a watch's answer."""
    return Changes(
        int(reply.header.revision),
        tuple(Change(decode_row(event.kv), event.type == "DELETE") for event in reply.events),
    )


def decode(data: bytes, kind: type[T]) -> T:
    """JSON as a checked value. Raises Malformed."""
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessage(str(error)) from None


def decode_error(data: bytes) -> BadRequest:
    """A failed call's code and words; what is no such answer counts as code 2, unknown."""
    try:
        error = msgspec.json.decode(data, type=ErrorResponse)
    except msgspec.DecodeError:
        return BadRequest(2, "not an answer of the gateway")
    return BadRequest(error.code, error.message or error.error)
