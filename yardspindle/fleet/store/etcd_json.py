"""Encodes and decodes the JSON requests and responses of etcd's gateway (`/v3/...`). No I/O.

This is protobuf's JSON mapping as the gateway writes it: snake-case field names, 64-bit integers as strings, bytes in
base64, zero values left out, enums by name. Used by the client (store/etcd.py) and by the simulated etcd server
(lab/etcd.py).
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
JsonInt = int | str  # the gateway reads both and writes strings
TARGETS: dict[Target, tuple[str, str]] = {  # the enum's name, and the field with the expected value
    "version": ("VERSION", "version"),
    "create": ("CREATE", "create_revision"),
    "mod": ("MOD", "mod_revision"),
    "value": ("VALUE", "value"),
    "lease": ("LEASE", "lease"),
}
RELATIONS: dict[Relation, str] = {"equal": "EQUAL", "greater": "GREATER", "less": "LESS", "not_equal": "NOT_EQUAL"}


class MalformedMessage(Exception):
    """A message that does not follow the gateway's schema."""


def encode_base64(data: bytes) -> str:
    """Encode bytes as the gateway's JSON does."""
    return base64.b64encode(data).decode()


def decode_base64(text: str) -> bytes:
    """Decode bytes of the gateway's JSON. Raises MalformedMessage."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise MalformedMessage("not base64") from None


class ResponseHeader(Struct):
    """The header of every response."""

    cluster_id: JsonInt = 0
    member_id: JsonInt = 0
    revision: JsonInt = 0
    raft_term: JsonInt = 0


class JsonRow(Struct, omit_defaults=True):
    """A key-value pair."""

    key: str = ""
    create_revision: JsonInt = 0
    mod_revision: JsonInt = 0
    version: JsonInt = 0
    value: str = ""
    lease: JsonInt = 0


class RangeRequest(Struct, omit_defaults=True):
    """A request to `/v3/kv/range`."""

    key: str = ""
    range_end: str = ""
    revision: JsonInt = 0
    serializable: bool = False


class RangeResponse(Struct, omit_defaults=True):
    """The response of `/v3/kv/range`."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    kvs: list[JsonRow] = field(default_factory=list)
    more: bool = False
    count: JsonInt = 0


class PutRequest(Struct, omit_defaults=True):
    """A put operation of a transaction."""

    key: str = ""
    value: str = ""
    lease: JsonInt = 0


class DeleteRangeRequest(Struct, omit_defaults=True):
    """A delete operation of a transaction."""

    key: str = ""
    range_end: str = ""


class RequestOp(Struct, omit_defaults=True):
    """An operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class JsonCompare(Struct, omit_defaults=True):
    """A condition of a transaction."""

    result: str = "EQUAL"
    target: str = "VERSION"
    key: str = ""
    version: JsonInt | None = None
    create_revision: JsonInt | None = None
    mod_revision: JsonInt | None = None
    value: str | None = None
    lease: JsonInt | None = None


class TxnRequest(Struct, omit_defaults=True):
    """A request to `/v3/kv/txn`."""

    compare: list[JsonCompare] = field(default_factory=list)
    success: list[RequestOp] = field(default_factory=list)
    failure: list[RequestOp] = field(default_factory=list)


class ResponseOp(Struct, omit_defaults=True):
    """The result of one operation."""

    response_range: RangeResponse | None = None
    response_put: dict[str, Any] | None = None
    response_delete_range: dict[str, Any] | None = None


class TxnResponse(Struct, omit_defaults=True):
    """The response of `/v3/kv/txn`."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    succeeded: bool = False
    responses: list[ResponseOp] = field(default_factory=list)


class LeaseRequest(Struct, omit_defaults=True):
    """A request to `/v3/lease/...`."""

    ID: JsonInt = 0
    TTL: JsonInt = 0


class LeaseResponse(Struct, omit_defaults=True):
    """The response of `/v3/lease/...`."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    ID: JsonInt = 0
    TTL: JsonInt = 0
    grantedTTL: JsonInt = 0


class KeepAliveMessage(Struct):
    """A message of the keep-alive stream, which wraps each response."""

    result: LeaseResponse = field(default_factory=LeaseResponse)


class WatchCreateRequest(Struct, omit_defaults=True):
    """The range to watch and its start revision."""

    key: str = ""
    range_end: str = ""
    start_revision: JsonInt = 0
    progress_notify: bool = False


class WatchRequest(Struct, omit_defaults=True):
    """A request to `/v3/watch`."""

    create_request: WatchCreateRequest = field(default_factory=WatchCreateRequest)


class WatchEvent(Struct, omit_defaults=True):
    """A change of a key; PUT is the default and left out."""

    type: Literal["PUT", "DELETE"] = "PUT"
    kv: JsonRow = field(default_factory=JsonRow)


class WatchResponse(Struct, omit_defaults=True):
    """One response of a watch."""

    header: ResponseHeader = field(default_factory=ResponseHeader)
    created: bool = False
    canceled: bool = False
    compact_revision: JsonInt = 0
    cancel_reason: str = ""
    events: list[WatchEvent] = field(default_factory=list)


class ErrorResponse(Struct, omit_defaults=True):
    """The response of a failed call: gRPC code and message."""

    error: str = ""
    code: int = 2
    message: str = ""


class WatchMessage(Struct):
    """A message of the watch stream: a response or an error."""

    result: WatchResponse | None = None
    error: ErrorResponse | None = None


def encode_row(row: KeyValue) -> JsonRow:
    """Convert a row to its JSON form."""
    return JsonRow(
        encode_base64(row.key),
        str(row.create),
        str(row.mod),
        str(row.version),
        encode_base64(row.value),
        str(row.lease),
    )


def decode_row(row: JsonRow) -> KeyValue:
    """Convert a row from its JSON form. Raises MalformedMessage."""
    return KeyValue(
        decode_base64(row.key),
        decode_base64(row.value),
        int(row.create_revision),
        int(row.mod_revision),
        int(row.version),
        int(row.lease),
    )


def encode_op(op: Op) -> RequestOp:
    """Convert an operation to its JSON form."""
    match op:
        case Get(key, end):
            return RequestOp(request_range=RangeRequest(encode_base64(key), encode_base64(end)))
        case Put(key, value, lease):
            return RequestOp(request_put=PutRequest(encode_base64(key), encode_base64(value), str(lease)))
        case Delete(key, end):
            return RequestOp(request_delete_range=DeleteRangeRequest(encode_base64(key), encode_base64(end)))


def decode_op(request_op: RequestOp) -> Op:
    """Convert an operation from its JSON form. Raises MalformedMessage."""
    if request_op.request_range is not None:
        return Get(decode_base64(request_op.request_range.key), decode_base64(request_op.request_range.range_end))
    if request_op.request_put is not None:
        return Put(
            decode_base64(request_op.request_put.key),
            decode_base64(request_op.request_put.value),
            int(request_op.request_put.lease),
        )
    if request_op.request_delete_range is not None:
        return Delete(
            decode_base64(request_op.request_delete_range.key), decode_base64(request_op.request_delete_range.range_end)
        )
    raise MalformedMessage("an operation that is neither a range, a put nor a delete")


def encode_txn(txn: Txn) -> bytes:
    """Encode a transaction request."""
    compare = []
    for c in txn.compare:
        target, name = TARGETS[c.target]
        expected = encode_base64(c.expected) if isinstance(c.expected, bytes) else str(c.expected)
        condition = JsonCompare(RELATIONS[c.relation], target, encode_base64(c.key))
        setattr(condition, name, expected)
        compare.append(condition)
    return msgspec.json.encode(
        TxnRequest(compare, [encode_op(op) for op in txn.then], [encode_op(op) for op in txn.otherwise])
    )


def decode_txn(data: bytes) -> Txn:
    """Decode a transaction request. Raises MalformedMessage."""
    request = decode(data, TxnRequest)
    compare = []
    for c in request.compare:
        target = next((name for name, (wire, _) in TARGETS.items() if wire == c.target), None)
        relation = next((name for name, wire in RELATIONS.items() if wire == c.result), None)
        if target is None or relation is None:
            raise MalformedMessage("a condition of no known kind")
        expected = getattr(c, TARGETS[target][1])
        compare.append(
            Compare(
                decode_base64(c.key),
                target,
                relation,
                decode_base64(expected or "") if target == "value" else int(expected or 0),
            )
        )
    return Txn(
        tuple(compare), tuple(decode_op(op) for op in request.success), tuple(decode_op(op) for op in request.failure)
    )


def encode_txn_result(txn: Txn, result: TxnResult, header: ResponseHeader) -> bytes:
    """Encode the response to a transaction."""
    responses = []
    for op, rows in zip(txn.then if result.succeeded else txn.otherwise, result.results, strict=True):
        match op:
            case Get():
                responses.append(
                    ResponseOp(
                        response_range=RangeResponse(header, [encode_row(row) for row in rows], count=str(len(rows)))
                    )
                )
            case Put():
                responses.append(ResponseOp(response_put={}))
            case Delete():
                responses.append(ResponseOp(response_delete_range={}))
    return msgspec.json.encode(TxnResponse(header, result.succeeded, responses))


def decode_txn_result(data: bytes) -> TxnResult:
    """Decode the response to a transaction. Raises MalformedMessage."""
    response = decode(data, TxnResponse)
    results = tuple(
        tuple(decode_row(row) for row in r.response_range.kvs) if r.response_range else () for r in response.responses
    )
    return TxnResult(int(response.header.revision), response.succeeded, results)


def encode_changes(changes: Changes, header: ResponseHeader) -> bytes:
    """Encode changes as one line of a watch stream."""
    events = [WatchEvent("DELETE" if c.removed else "PUT", encode_row(c.row)) for c in changes.changes]
    return msgspec.json.encode(WatchMessage(WatchResponse(header, events=events))) + b"\n"


def decode_changes(response: WatchResponse) -> Changes:
    """Convert the events of a watch response."""
    return Changes(
        int(response.header.revision),
        tuple(Change(decode_row(event.kv), event.type == "DELETE") for event in response.events),
    )


def decode(data: bytes, kind: type[T]) -> T:
    """Decode and validate JSON as the given type. Raises MalformedMessage."""
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessage(str(error)) from None


def decode_error(data: bytes) -> BadRequest:
    """Decode the error of a failed call; anything else counts as gRPC code 2 (unknown)."""
    try:
        error = msgspec.json.decode(data, type=ErrorResponse)
    except msgspec.DecodeError:
        return BadRequest(2, "not an answer of the gateway")
    return BadRequest(error.code, error.message or error.error)
