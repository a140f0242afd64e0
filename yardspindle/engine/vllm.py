"""Client for vLLM's OpenAI-compatible server: a request in two stages, linked by `kv_transfer_params`.

The first stage, the read, is the prefill at a prefill server (the reader), sent with `do_remote_decode` and one token
to produce. The second, the write, is the decode at a decode server (the writer). The read's answer names the KV cache
blocks that the reader holds (`remote_engine_id`, `remote_block_ids`, `remote_host`, `remote_port`); echoed in the
write's parameters with `do_remote_prefill`, they let the writer fetch the blocks.

A state is the KV cache that a reader keeps until the writer has fetched it; a place is memory reserved at a writer
ahead of the write. Places, and releases of places and states, are an extension of this project under
`/v1/yardspindle/`; only servers marked `places` in the server list are asked for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct, field

from yardspindle.core.hosts.directory import Server
from yardspindle.core.request.retry_safety import classify_error
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient, Response
from yardspindle.interface import Status
from yardspindle.protocol import http1
from yardspindle.protocol.sse import EventTooLarge, SseParser

COMPLETIONS = b"/v1/chat/completions"
PLACES = b"/v1/yardspindle/places"
STATES = b"/v1/yardspindle/states"
PLACE_HEADER = b"x-yardspindle-place"
HOLDS = b"/v1/yardspindle/holds"  # lists the states and places that the engine holds
# Sent by a steward (a process that does background work for the whole fleet): its duty, that is, the name of the task,
# and its fencing token, by which an engine rejects calls of an earlier owner of the duty.
DUTY_HEADER, FENCE_HEADER = b"x-yardspindle-duty", b"x-yardspindle-fence"
JSON_HEADERS: http1.Headers = [(b"content-type", b"application/json")]
MAX_ERROR_BYTES = 65_536
READ_PARAMS = {
    "do_remote_decode": True,
    "do_remote_prefill": False,
    "remote_engine_id": None,
    "remote_block_ids": None,
    "remote_host": None,
    "remote_port": None,
}
# Fields of the client's request that do not apply to a read, which produces one token.
READ_EXCLUDED_FIELDS = (
    "stream_options",
    "min_tokens",
    "max_completion_tokens",
    "n",
    "best_of",
    "logprobs",
    "top_logprobs",
    "response_format",
)

Fields = dict[str, msgspec.Raw]


class PromptDetails(Struct):
    """How much of the prompt the engine had cached."""

    cached_tokens: int | None = None


class Usage(Struct):
    """Token counts, as engines report them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    @property
    def cached_tokens(self) -> int | None:
        """Prompt tokens that were cached, or None if the engine does not report them."""
        return self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else None


class _ReadAnswer(Struct):
    kv_transfer_params: dict[str, Any] | None = None
    usage: Usage = field(default_factory=Usage)


class _ErrorBody(Struct):
    code: str | int | None = None
    message: str = ""


class _ErrorAnswer(Struct):
    error: _ErrorBody = field(default_factory=_ErrorBody)


class HoldRow(Struct):
    """A state or place that an engine holds.

    Its id begins with the epoch (the id of one run) of the edge, the client-facing process, that it is held for.
    """

    id: str
    kind: str


class HoldsAnswer(Struct):
    """All states and places that an engine holds."""

    holds: list[HoldRow] = field(default_factory=list)


@dataclass(slots=True)
class AttemptResult:
    """How an attempt (one call for a read or write) ended, as reported to the core, which decides what follows.

    `note` is passed to the policy as `Outcome.note` (interface.py): the cached prompt tokens of a success, or 1 for
    an error if the engine found no state.
    """

    status: Status
    note: int = 0
    state: Any = None
    usage: Usage | None = None
    detail: str = ""
    client_error: bytes | None = None  # body of the engine's 4xx response: the client's request is at fault
    client_status: int = 0


def read_body(fields: Fields) -> bytes:
    """The request body of the read: the client's fields, but for one token and with the KV cache kept for a writer."""
    fields_sent: dict[str, Any] = {name: raw for name, raw in fields.items() if name not in READ_EXCLUDED_FIELDS}
    fields_sent |= {"stream": False, "max_tokens": 1, "kv_transfer_params": READ_PARAMS}
    return msgspec.json.encode(fields_sent)


def write_body(fields: Fields, state: Any) -> bytes:
    """The request body of the write: the client's fields, but always streamed and with the usage at the end."""
    options: dict[str, Any] = {}
    if "stream_options" in fields:
        options = msgspec.json.decode(fields["stream_options"]) or {}
    fields_sent: dict[str, Any] = {**fields, "stream": True, "stream_options": {**options, "include_usage": True}}
    if state is not None:
        fields_sent["kv_transfer_params"] = state
    return msgspec.json.encode(fields_sent)


class AnswerStream:
    """The events of a writer's streamed answer."""

    def __init__(self, response: Response) -> None:
        """Takes ownership of a response with status 200."""
        self._response = response
        self._sse = SseParser()

    def event_batches(self) -> Iterator[list[bytes]]:
        """The data of the events, in the batches in which they were received. Raises ExchangeBroken."""
        response, sse = self._response, self._sse
        try:
            while (piece := response.read()) is not None:
                events = sse.feed(piece)
                if events:
                    yield [event.data for event in events]
        except EventTooLarge:
            raise ExchangeBroken("an event is too large") from None

    def close(self) -> None:
        """Closes the response, which returns the connection to the pool or resets it."""
        self._response.close()

    def abort(self) -> None:
        """Resets the connection; a task that reads from it gets ExchangeBroken."""
        self._response.connection.stream.abort()

    def read_to_end(self) -> None:
        """Reads to the end of the response, so that the connection can be reused. Raises ExchangeBroken."""
        while self._response.read() is not None:
            pass


class EngineClient:
    """Calls to any engine of the server list. The caller sets the deadline of each call."""

    def __init__(self, http: HttpClient, id_prefix: str) -> None:
        """`id_prefix` distinguishes the ids of this run of the edge from all others."""
        self.http = http
        self._id_prefix = id_prefix

    def attempt_id(self, request: int, attempt: int) -> str:
        """The id of an attempt; a reader holds the state of a read under it."""
        return f"{self._id_prefix}-{request}.{attempt}"

    def place_id(self, request: int, place: int) -> str:
        """The id under which a writer holds a place."""
        return f"{self._id_prefix}-{request}.p{place}"

    def read(
        self, server: Server, request: int, attempt: int, body: bytes, on_written: Callable[[], None] | None = None
    ) -> AttemptResult:
        """Send the read and wait for its answer. Raises only for deadlines and cancellation.

        `on_written` is called once the request's last byte is written.
        """
        headers = [*JSON_HEADERS, (b"x-request-id", self.attempt_id(request, attempt).encode())]
        try:
            response = self.http.request(server.host, server.port, b"POST", COMPLETIONS, headers, body, on_written)
        except ConnectError as error:
            return AttemptResult(Status.CONNECT_FAILED, detail=str(error))
        except ExchangeBroken as error:
            return AttemptResult(Status.RESET, detail=str(error))
        try:
            data = response.read_all()
        except ExchangeBroken as error:
            return AttemptResult(Status.RESET, detail=str(error))
        finally:
            response.close()
        if response.head.status != 200:
            return error_result(response.head.status, data)
        try:
            answer = msgspec.json.decode(data, type=_ReadAnswer)
        except msgspec.DecodeError as error:
            return AttemptResult(Status.ERROR, detail=f"the read's answer is malformed: {error}")
        if not answer.kv_transfer_params:
            return AttemptResult(Status.ERROR, detail="the read's answer names no state")
        state = {**answer.kv_transfer_params, "do_remote_prefill": True, "do_remote_decode": False}
        return AttemptResult(Status.READ, answer.usage.cached_tokens or 0, state, answer.usage)

    def write(
        self,
        server: Server,
        request: int,
        attempt: int,
        body: bytes,
        place: int | None,
        on_written: Callable[[], None] | None = None,
    ) -> AnswerStream | AttemptResult:
        """Send the write; returns the answer's stream, or the attempt's result if no stream began."""
        headers = [*JSON_HEADERS, (b"x-request-id", self.attempt_id(request, attempt).encode())]
        if place is not None:
            headers.append((PLACE_HEADER, self.place_id(request, place).encode()))
        try:
            response = self.http.request(server.host, server.port, b"POST", COMPLETIONS, headers, body, on_written)
        except ConnectError as error:
            return AttemptResult(Status.CONNECT_FAILED, detail=str(error))
        except ExchangeBroken as error:
            return AttemptResult(Status.RESET, detail=str(error))
        if response.head.status == 200:
            return AnswerStream(response)
        try:
            return error_result(response.head.status, response.read_all())
        except ExchangeBroken as error:
            return AttemptResult(Status.RESET, detail=str(error))
        finally:
            response.close()

    def reserve_place(
        self, server: Server, request: int, place: int, tokens: float, reader: Server, read_attempt: int
    ) -> bool | None:
        """Asks a writer to hold a place. Returns whether it does, or None if there was no clear answer."""
        body = msgspec.json.encode(
            {
                "place": self.place_id(request, place),
                "tokens": round(tokens),
                "read": {"id": self.attempt_id(request, read_attempt), "host": reader.host, "port": reader.port},
            }
        )
        status = self._call(server, b"POST", PLACES, body)
        return True if status == 200 else False if status == 409 else None

    def release_state(self, server: Server, request: int, attempt: int) -> bool:
        """Releases a state; without effect if there is none. Returns False if the server did not answer."""
        target = STATES + b"/" + self.attempt_id(request, attempt).encode()
        return self._call(server, b"DELETE", target) is not None

    def release_place(self, server: Server, request: int, place: int) -> bool:
        """Releases a place; without effect if there is none. Returns False if the server did not answer."""
        target = PLACES + b"/" + self.place_id(request, place).encode()
        return self._call(server, b"DELETE", target) is not None

    def _call(self, server: Server, method: bytes, target: bytes, body: bytes = b"") -> int | None:
        try:
            response = self.http.request(server.host, server.port, method, target, JSON_HEADERS if body else [], body)
        except (ConnectError, ExchangeBroken):
            return None
        try:
            response.read_all()
            return response.head.status
        except ExchangeBroken:
            return None
        finally:
            response.close()


def error_result(http_status: int, data: bytes) -> AttemptResult:
    """Converts an engine's error response to the result of the attempt."""
    code: str | None = None
    message = ""
    try:
        error = msgspec.json.decode(data[:MAX_ERROR_BYTES], type=_ErrorAnswer).error
        code, message = None if error.code is None else str(error.code), error.message
    except msgspec.DecodeError:
        pass
    status, note = classify_error(http_status, code)
    ended = AttemptResult(status, note, detail=f"HTTP {http_status} {code or ''} {message[:200]}".strip())
    if 400 <= http_status < 500 and status is Status.ERROR and http_status not in (408, 429):
        ended.client_error, ended.client_status = data[:MAX_ERROR_BYTES], http_status
    return ended
