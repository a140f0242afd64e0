"""The member page: an HTTP endpoint that every member serves as long as its process runs.

Members are the processes that register in the fleet's shared key-value store: edges and planners (the router), stewards
(background tasks) and unit supervisors (which start and stop a process for releases). `GET /v1/yardspindle/member`
returns the member's registration and its clock. The page has a listener of its own because a draining program closes
the listener for its clients while it still runs: a refused connection here means that the process has ended.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from yardspindle.api.errors import JSON_CONTENT_TYPE, ApiError
from yardspindle.api.exchange import Exchange, Reply
from yardspindle.api.serving import Server, ServingLimits
from yardspindle.core.config import split_address
from yardspindle.core.fleet.members import Member
from yardspindle.core.fleet.sweep import ProbeResult
from yardspindle.engine.http_client import ConnectError, ExchangeBroken, HttpClient
from yardspindle.protocol import http1
from yardspindle.runtime.scheduler import DeadlineExceeded
from yardspindle.runtime.world import ConnectReset, World

MEMBER_PATH = b"/v1/yardspindle/member"
PROBE_TIMEOUT_US = 500_000


class MemberStatus(Struct):
    """The JSON body of a member page."""

    member: Member
    now_us: int


class MemberPage:
    """Serves a member's page, as the `Handler` (api/exchange.py) of an HTTP server."""

    def __init__(self, world: World, member: Callable[[], Member]) -> None:
        """`world`: the interface to clock, sockets and files. `member` returns the current registration."""
        self._world, self._member = world, member

    def start(self, host: str, port: int) -> tuple[str, int]:
        """Start serving and return the address. Raises OSError."""
        listener = self._world.listen(host, port)
        server = Server(self._world, listener, self, ServingLimits(), _ignore_error)
        self._world.spawn_service("member page", server.serve)
        return listener.host, listener.port

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """The reply to a request that is answered without reading its body, or None (Handler)."""
        if head.target != MEMBER_PATH or head.method not in (b"GET", b"HEAD"):
            return ApiError(404, "not_found", "There is nothing at this path.").reply()
        return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(MemberStatus(self._member(), self._world.now_us())))

    def handle(self, exchange: Exchange) -> None:
        """Answer a request (Handler)."""
        raise AssertionError("early_reply answers every request")

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """The reply to input that is not a valid request (Handler)."""
        return ApiError(error.status, "malformed_request", error.reason).reply()


def probe_member(http: HttpClient, page_address: str) -> tuple[ProbeResult, MemberStatus | None]:
    """Request a member page at `host:port`; the status is None unless the member answered."""
    world = http.world
    limit = world.deadline(world.now_us() + PROBE_TIMEOUT_US)
    try:
        with limit:
            response = http.request(*split_address(page_address), b"GET", MEMBER_PATH, [])
            data = response.read_all()
            response.close()
        return ProbeResult.ANSWERED, msgspec.json.decode(data, type=MemberStatus)
    except ConnectReset:  # also if this process has no free socket: proves nothing about the member
        return ProbeResult.NO_ANSWER, None
    except ConnectError as error:  # only the text tells a refusal, which proves that the process has ended
        return ProbeResult.REFUSED if "refused" in str(error).lower() else ProbeResult.NO_ANSWER, None
    except (ExchangeBroken, msgspec.DecodeError):
        return ProbeResult.NO_ANSWER, None
    except DeadlineExceeded:
        if not limit.passed:  # an enclosing deadline of the caller passed, not this one
            raise
        return ProbeResult.NO_ANSWER, None


def _ignore_error(fault: BaseException) -> None:
    """Log nothing for an aborted request for the page."""
