"""A member's page: where a process answers for itself for as long as it lives.

`GET /v1/yardspindle/member` tells its registration and its clock. It has a listener of its own, because a program that
drains closes the one for its clients and still lives: a refused connection here means that the process is gone.
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
    """What a page says."""

    member: Member
    now_us: int


class MemberPage:
    """Serves a member's page."""

    def __init__(self, world: World, member: Callable[[], Member]) -> None:
        """`member`: the process as it is now."""
        self._world, self._member = world, member

    def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen. Raises OSError."""
        listener = self._world.listen(host, port)
        self._world.spawn("member page", Server(self._world, listener, self, ServingLimits(), _nothing).serve)
        return listener.host, listener.port

    def early_reply(self, head: http1.RequestHead) -> Reply | None:
        """See Handler."""
        if head.target != MEMBER_PATH or head.method not in (b"GET", b"HEAD"):
            return ApiError(404, "not_found", "There is nothing at this path.").reply()
        return Reply(200, [JSON_CONTENT_TYPE], msgspec.json.encode(MemberStatus(self._member(), self._world.now_us())))

    def handle(self, exchange: Exchange) -> None:
        """See Handler."""
        raise AssertionError("every page is answered early")

    def malformed(self, error: http1.ProtocolError) -> Reply:
        """See Handler."""
        return ApiError(error.status, "malformed_request", error.reason).reply()


def probe_member(http: HttpClient, page: str) -> tuple[ProbeResult, MemberStatus | None]:
    """What a page says, or what became of asking."""
    world = http.world
    limit = world.deadline(world.now_us() + PROBE_TIMEOUT_US)
    try:
        with limit:
            response = http.request(*split_address(page), b"GET", MEMBER_PATH, [])
            data = response.read_all()
            response.close()
        return ProbeResult.ANSWERED, msgspec.json.decode(data, type=MemberStatus)
    except ConnectReset:
        return ProbeResult.NO_ANSWER, None
    except ConnectError as error:
        return ProbeResult.REFUSED if "refused" in str(error).lower() else ProbeResult.NO_ANSWER, None
    except (ExchangeBroken, msgspec.DecodeError):
        return ProbeResult.NO_ANSWER, None
    except DeadlineExceeded:
        if not limit.passed:
            raise
        return ProbeResult.NO_ANSWER, None


def _nothing(fault: BaseException) -> None:
    """A client of the page that broke off is of no interest."""
