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

RANGE, TXN = b"/v3/kv/range", b"/v3/kv/txn"
GRANT, KEEP_ALIVE = b"/v3/lease/grant", b"/v3/lease/keepalive"
REVOKE, TIME_LEFT = b"/v3/lease/revoke", b"/v3/lease/timetolive"
COMPACT, WATCH = b"/v3/kv/compaction", b"/v3/watch"

T = TypeVar("T")
Int = int | str  # as the gateway reads both and writes strings
TARGETS: dict[Target, tuple[str, str]] = {
    "version": ("VERSION", "version"),
    "create": ("CREATE", "create_revision"),
    "mod": ("MOD", "mod_revision"),
    "value": ("VALUE", "value"),
    "lease": ("LEASE", "lease"),
}
RELATIONS: dict[Relation, str] = {"equal": "EQUAL", "greater": "GREATER", "less": "LESS", "not_equal": "NOT_EQUAL"}


class Malformed(Exception):
    """What came is not what the gateway's description says."""


def b64(data: bytes) -> str:
    """Bytes as JSON has them."""
    return base64.b64encode(data).decode()


def unb64(text: str) -> bytes:
    """Bytes from JSON. Raises Malformed."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise Malformed("not base64") from None


class Header(Struct):
    """With every answer."""

    cluster_id: Int = 0
    member_id: Int = 0
    revision: Int = 0
    raft_term: Int = 0


class Row(Struct, omit_defaults=True):
    """A key."""

    key: str = ""
    create_revision: Int = 0
    mod_revision: Int = 0
    version: Int = 0
    value: str = ""
    lease: Int = 0


class RangeCall(Struct, omit_defaults=True):
    """`/v3/kv/range`."""

    key: str = ""
    range_end: str = ""
    revision: Int = 0
    serializable: bool = False


class RangeReply(Struct, omit_defaults=True):
    """Its answer."""

    header: Header = field(default_factory=Header)
    kvs: list[Row] = field(default_factory=list)
    more: bool = False
    count: Int = 0


class PutCall(Struct, omit_defaults=True):
    """An operation of a transaction."""

    key: str = ""
    value: str = ""
    lease: Int = 0


class DeleteCall(Struct, omit_defaults=True):
    """An operation of a transaction."""

    key: str = ""
    range_end: str = ""


class OpCall(Struct, omit_defaults=True):
    """One of the three."""

    request_range: RangeCall | None = None
    request_put: PutCall | None = None
    request_delete_range: DeleteCall | None = None


class CompareCall(Struct, omit_defaults=True):
    """A condition."""

    result: str = "EQUAL"
    target: str = "VERSION"
    key: str = ""
    version: Int | None = None
    create_revision: Int | None = None
    mod_revision: Int | None = None
    value: str | None = None
    lease: Int | None = None


class TxnCall(Struct, omit_defaults=True):
    """`/v3/kv/txn`."""

    compare: list[CompareCall] = field(default_factory=list)
    success: list[OpCall] = field(default_factory=list)
    failure: list[OpCall] = field(default_factory=list)


class OpReply(Struct, omit_defaults=True):
    """What an operation found."""

    response_range: RangeReply | None = None
    response_put: dict[str, Any] | None = None
    response_delete_range: dict[str, Any] | None = None


class TxnReply(Struct, omit_defaults=True):
    """Its answer."""

    header: Header = field(default_factory=Header)
    succeeded: bool = False
    responses: list[OpReply] = field(default_factory=list)


class LeaseCall(Struct, omit_defaults=True):
    """`/v3/lease/...`."""

    ID: Int = 0
    TTL: Int = 0


class LeaseReply(Struct, omit_defaults=True):
    """Its answer."""

    header: Header = field(default_factory=Header)
    ID: Int = 0
    TTL: Int = 0
    grantedTTL: Int = 0


class LeaseStream(Struct):
    """Keeping alive is a stream: each answer is wrapped."""

    result: LeaseReply = field(default_factory=LeaseReply)


class WatchCreate(Struct, omit_defaults=True):
    """What is to be followed."""

    key: str = ""
    range_end: str = ""
    start_revision: Int = 0
    progress_notify: bool = False


class WatchCall(Struct, omit_defaults=True):
    """`/v3/watch`."""

    create_request: WatchCreate = field(default_factory=WatchCreate)


class EventRow(Struct, omit_defaults=True):
    """A change; PUT is the default and left out."""

    type: Literal["PUT", "DELETE"] = "PUT"
    kv: Row = field(default_factory=Row)


class WatchReply(Struct, omit_defaults=True):
    """One answer of a watch."""

    header: Header = field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: Int = 0
    cancel_reason: str = ""
    events: list[EventRow] = field(default_factory=list)


class ErrorReply(Struct, omit_defaults=True):
    """A call that failed: gRPC's code and words."""

    error: str = ""
    code: int = 2
    message: str = ""


class WatchStream(Struct):
    """As it comes on the stream."""

    result: WatchReply | None = None
    error: ErrorReply | None = None


def row_out(row: KeyValue) -> Row:
    """A row as JSON has it."""
    return Row(b64(row.key), str(row.create), str(row.mod), str(row.version), b64(row.value), str(row.lease))


def row_in(row: Row) -> KeyValue:
    """A row from JSON."""
    return KeyValue(
        unb64(row.key),
        unb64(row.value),
        int(row.create_revision),
        int(row.mod_revision),
        int(row.version),
        int(row.lease),
    )


def op_out(op: Op) -> OpCall:
    """An operation as JSON has it."""
    match op:
        case Get(key, end):
            return OpCall(request_range=RangeCall(b64(key), b64(end)))
        case Put(key, value, lease):
            return OpCall(request_put=PutCall(b64(key), b64(value), str(lease)))
        case Delete(key, end):
            return OpCall(request_delete_range=DeleteCall(b64(key), b64(end)))


def op_in(call: OpCall) -> Op:
    """An operation from JSON. Raises Malformed."""
    if call.request_range is not None:
        return Get(unb64(call.request_range.key), unb64(call.request_range.range_end))
    if call.request_put is not None:
        return Put(unb64(call.request_put.key), unb64(call.request_put.value), int(call.request_put.lease))
    if call.request_delete_range is not None:
        return Delete(unb64(call.request_delete_range.key), unb64(call.request_delete_range.range_end))
    raise Malformed("an operation that is none of the three")


def txn_out(txn: Txn) -> bytes:
    """A transaction as JSON."""
    compare = []
    for c in txn.compare:
        target, name = TARGETS[c.target]
        want = b64(c.expected) if isinstance(c.expected, bytes) else str(c.expected)
        call = CompareCall(RELATIONS[c.relation], target, b64(c.key))
        setattr(call, name, want)
        compare.append(call)
    return msgspec.json.encode(TxnCall(compare, [op_out(op) for op in txn.then], [op_out(op) for op in txn.otherwise]))


def txn_in(data: bytes) -> Txn:
    """A transaction from JSON. Raises Malformed."""
    call = decode(data, TxnCall)
    compare = []
    for c in call.compare:
        target = next((name for name, (wire, _) in TARGETS.items() if wire == c.target), None)
        relation = next((name for name, wire in RELATIONS.items() if wire == c.result), None)
        if target is None or relation is None:
            raise Malformed("a condition of no known kind")
        want = getattr(c, TARGETS[target][1])
        compare.append(
            Compare(unb64(c.key), target, relation, unb64(want or "") if target == "value" else int(want or 0))
        )
    return Txn(tuple(compare), tuple(op_in(op) for op in call.success), tuple(op_in(op) for op in call.failure))


def answer_out(txn: Txn, answer: TxnResult, header: Header) -> bytes:
    """A transaction's answer as JSON."""
    replies = []
    for op, found in zip(txn.then if answer.succeeded else txn.otherwise, answer.results, strict=True):
        match op:
            case Get():
                replies.append(
                    OpReply(response_range=RangeReply(header, [row_out(row) for row in found], count=str(len(found))))
                )
            case Put():
                replies.append(OpReply(response_put={}))
            case Delete():
                replies.append(OpReply(response_delete_range={}))
    return msgspec.json.encode(TxnReply(header, answer.succeeded, replies))


def answer_in(data: bytes) -> TxnResult:
    """A transaction's answer from JSON. Raises Malformed."""
    reply = decode(data, TxnReply)
    found = tuple(
        tuple(row_in(row) for row in r.response_range.kvs) if r.response_range else () for r in reply.responses
    )
    return TxnResult(int(reply.header.revision), reply.succeeded, found)


def changes_out(changes: Changes, header: Header) -> bytes:
    """Changes as one line of a watch."""
    events = [EventRow("DELETE" if c.removed else "PUT", row_out(c.row)) for c in changes.changes]
    return msgspec.json.encode(WatchStream(WatchReply(header, events=events))) + b"\n"


def changes_in(reply: WatchReply) -> Changes:
    """Changes from a watch's answer."""
    return Changes(
        int(reply.header.revision), tuple(Change(row_in(event.kv), event.type == "DELETE") for event in reply.events)
    )


def decode(data: bytes, kind: type[T]) -> T:
    """JSON as a checked value. Raises Malformed."""
    try:
        return msgspec.json.decode(data, type=kind, strict=False)
    except (msgspec.DecodeError, ValueError) as error:
        raise Malformed(str(error)) from None


def error_in(data: bytes) -> BadRequest:
    """A failed call's code and words; what is no such answer counts as code 2, unknown."""
    try:
        error = msgspec.json.decode(data, type=ErrorReply)
    except msgspec.DecodeError:
        return BadRequest(2, "not an answer of the gateway")
    return BadRequest(error.code, error.message or error.error)
