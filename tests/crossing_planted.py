"""Injected faults of one line each, every one of which the ledger of the crossing worlds has to find.

`python -m tests.crossing_planted [NAME ...]` runs seeds 0 to MAX_SEEDS - 1 for each fault until a world finds it.
A fault with a higher `first_seed`, at which the tests start, may be reported as not found.
"""

from __future__ import annotations
import __future__

import inspect
import sys
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from tests.crossing_worlds import breaks_of
from yardspindle.api.exchange import Exchange
from yardspindle.api.serving import Server
from yardspindle.core.hosts.discovery_schedule import DiscoveryCall
from yardspindle.core.hosts.host_list import HostList
from yardspindle.core.request.completion import RequestCompletion
from yardspindle.core.request.lifecycle import Lifecycle
from yardspindle.core.request.repeated_releases import RepeatedReleases
from yardspindle.core.request.request_releases import RequestReleases
from yardspindle.core.request.unread_calls import UnreadCalls
from yardspindle.engine.http_client import HttpClient, Response
from yardspindle.node.executor import Executor
from yardspindle.node.host_client import HostClient, ResponseStream
from yardspindle.node.probe_tasks import ProbeTasks
from yardspindle.node.release_tasks import ReleaseTasks

MAX_SEEDS = 300


@dataclass(frozen=True, slots=True)
class Planted:
    """Lines to change, the violation that the ledger must report, and a seed from which on a few suffice to find it."""

    changes: tuple[tuple[Any, str, str, str], ...]  # owner, method, old text, new text
    expected_break: str
    first_seed: int = 0


def single_change(owner: Any, method: str, old: str, new: str, expected_break: str, first_seed: int = 0) -> Planted:
    return Planted(((owner, method, old, new),), expected_break, first_seed)


# Switch off the repeated releases and the probes (releases too) for calls that a host may not have read yet: they would
# mask the faults planted with these changes.
NO_REPEATED_RELEASES = (
    (RepeatedReleases, "take_due", "due.append(request)", "pass"),
    (UnreadCalls, "take_probes", "if request is None:", "if True:"),
)

PLANTED: dict[str, Planted] = {
    # The policy is not notified when a client disconnects, and an attempt does not wait until the client's end is read:
    # that wait alone keeps a request from being sent on.
    "a client's leaving is not told": Planted(
        (
            (Server, "_watch", "exchange.client_disconnected()", "return"),
            (Exchange, "await_unread_input", "while not (", "while False and not ("),
        ),
        "after its client left",
        16,
    ),
    # A 500 counts as a refusal, as if the write had not run.
    "500 is taken for turned away": single_change(
        HostClient,
        "send",
        "head.status in (503, 504) and declined",
        "head.status in (500, 503, 504)",
        "sent again",
        147,
    ),
    # A host listed as draining counts as serving.
    "a drain on the list is passed over": single_change(
        HostList,
        "_state",
        "PHASES.get(member.phase, i.State.DRAINING)",
        "i.State.SERVING",
        "after the dispatcher had to know of its drain",
        7,
    ),
    "drains on a list that may lag are passed over": single_change(
        HostList,
        "apply",
        "self.rejection == MAY_LAG and self._drain(answer)",
        "False",
        "after the dispatcher had to know of its drain",
        169,
    ),
    # A host missing on a list that may lag counts as present.
    "what is missing on a list that may lag is passed over": single_change(
        HostList,
        "_drain",
        "else host.up_since_ms <= newest",
        "else False",
        "after the dispatcher had to know of its drain",
        3_888,
    ),
    # No release is sent; each counts as confirmed.
    "nothing is let go of": Planted(
        (
            (
                ReleaseTasks,
                "_release",
                "acknowledged = self._hosts.release(server, self._ids[release.request], late_headers)",
                "acknowledged = True",
            ),
            (
                ProbeTasks,
                "_probe",
                "self._hosts.probe(server, request_id, late_headers, on_first_byte, probe.new_connection)",
                "answered = True",
            ),
        ),
        "was held",
        7,
    ),
    # A release that may have arrived before its hold is not repeated.
    "a word that may have come too early is not said again": Planted(
        (
            *NO_REPEATED_RELEASES,
            (
                RequestCompletion,
                "_release_all",
                "c.ReleaseAll(record.request.request, record.may_hold_later)",
                "c.ReleaseAll(record.request.request, False)",
            ),
        ),
        "was held",
        53_680,
    ),
    # A release that no host confirmed counts as confirmed.
    "a word that was not heard counts as heard": single_change(
        RequestReleases, "settled", "if not confirmed:", "if confirmed and not confirmed:", "was held", 4_052
    ),
    # After a read is cancelled, the state that it may have left is not released.
    "a read that was called off left nothing": Planted(
        (
            *NO_REPEATED_RELEASES,
            (
                RequestCompletion,
                "_abort",
                "record.may_hold_later = True  # the read may succeed at the moment of the abort\n"
                "                self._mark_held(now_us, record)",
                "pass",
            ),
        ),
        "was held",
        44,
    ),
    # A connection is reused although more bytes followed the answer.
    "what is behind an answer is not looked at": single_change(
        Response, "close", " and not self.connection.parser.buffered", "", "not the beginning of any host's stream", 644
    ),
    # The discovery client waits a minute for the agent's answer.
    "a silent agent is waited for": single_change(
        DiscoveryCall,
        "late_us",
        "self.wait_us + timeouts.AGENT_RESPONSE_US",
        "self.wait_us + 60_000_000",
        "after the dispatcher had to know of its drain",
        210,
    ),
    # An idle connection is reused without checking it for input or a close.
    "a kept connection is not looked at": Planted(
        (
            (HttpClient, "_take_idle", "elif connection.stream.is_idle():", "elif True:"),
            (HttpClient, "request", "if connection.stream.is_idle():", "if True:"),
        ),
        "not the beginning of any host's stream",
        704,
    ),
    # A connection is reused without its minimum idle time.
    "a kept connection does not rest": single_change(
        HttpClient,
        "_pop_idle",
        "connection.idle_since_us + min_idle_us <=",
        "connection.idle_since_us <=",
        "two attempts in flight at once",
        43,
    ),
    "a cut stream is taken for whole": single_change(
        Executor,
        "_relay",
        'return AttemptResult(i.Status.RESET, detail=f"stream broken: {error}")',
        "return AttemptResult(i.Status.SERVED)",
        "ended as complete",
        26,
    ),
    "an end of file ends a stream": single_change(
        ResponseStream,
        "read",
        'raise ExchangeBroken("closed inside the stream")',
        "return None",
        "ended as complete",
        26,
    ),
    "a spoilt stream is taken for whole": single_change(
        Executor,
        "_relay",
        'return AttemptResult(i.Status.ERROR, detail=f"stream spoilt: {error}")',
        "return AttemptResult(i.Status.SERVED)",
        "ended as complete",
        42,
    ),
    # A graceful shutdown cancels open connections instead of waiting for them.
    "the end of the process waits for nobody": single_change(
        Server,
        "drain",
        "next(iter(self._connections)).join()",
        "self._connections.popitem()[0].cancel()",
        "closed without an answer",
        4,
    ),
    # Attempts get a deadline 200 ms later than the request's.
    "attempts are told more time": single_change(
        Executor,
        "_late_headers",
        "self._start_sending(command))]",
        "(self._start_sending(command) + 200))]",
        "more than the request had left",
    ),
    # An attempt's deadline is not reduced by the time since it was decided on.
    "the time left is not looked at when an attempt goes out": single_change(
        Lifecycle,
        "remaining_ms",
        "(record.attempt.deadline_us - now_us)",
        "(record.attempt.deadline_us - record.attempt.sent_us)",
        "more than the request had left",
        40,
    ),
    # A cancelled attempt keeps running.
    "an attempt is called off by name only": single_change(
        Executor,
        "_carry_out",
        "known.attempts.pop(attempt).cancel()",
        "known.attempts.pop(attempt)",
        "two attempts in flight at once",
        38,
    ),
    # Pieces of a stream are passed on 0.4 s late.
    "a client's pieces are kept back": single_change(
        Exchange,
        "send",
        "self._write(head +",
        "self._world.sleep_until(self._world.now_us() + 400_000) or self._write(head +",
        "us late",
    ),
    # An attempt is delayed after its deadline header was computed.
    "an attempt waits when all has been looked at": single_change(
        Executor,
        "_late_headers",
        'return [(b"req-deadline-ms", b"%d" % self._start_sending(command))]',
        "remaining_ms = self._start_sending(command); self._world.sleep_until(self._world.now_us() + 250_000)\n"
        '                return [(b"req-deadline-ms", b"%d" % remaining_ms)]',
        "more than the request had left",
    ),
    # A connection lost after the request was written counts as not connected.
    "an attempt that was written has not run": single_change(
        HostClient,
        "send",
        "Status.ERROR if error.malformed else Status.RESET, detail=str(error), stale=error.stale",
        "Status.CONNECT_FAILED, detail=str(error), stale=error.stale",
        "though it may have run",
        59,
    ),
}


def patched_method(owner: Any, method: str, old: str, new: str) -> Callable[..., Any]:
    """The method with `old`, which must occur exactly once in its source, replaced by `new`."""
    function = inspect.unwrap(getattr(owner, method))
    source = inspect.getsource(function)
    assert source.count(old) == 1, f"{owner.__name__}.{method} has this {source.count(old)} times: {old}"
    space: dict[str, Any] = {}
    exec(
        compile(
            textwrap.dedent(source.replace(old, new)),
            f"<planted in {method}>",
            "exec",
            dont_inherit=True,
            flags=__future__.annotations.compiler_flag,
        ),
        function.__globals__,
        space,
    )  # the flag keeps annotations as text
    planted: Callable[..., Any] = space[method]
    return planted


@contextmanager
def plant(planted: Planted) -> Iterator[None]:
    """Applies the fault to the program within the context."""
    before = [(owner, method, getattr(owner, method)) for owner, method, _, _ in planted.changes]
    try:
        for owner, method, old, new in planted.changes:
            setattr(owner, method, patched_method(owner, method, old, new))
        yield
    finally:
        for owner, method, function in before:
            setattr(owner, method, function)


def find_break(planted: Planted, first: int, count: int) -> tuple[int, str] | None:
    """The first seed in which the ledger reports the expected violation only with the fault, and the report."""
    for seed in range(first, first + count):
        with plant(planted):
            reported = [text for text in breaks_of(seed) if planted.expected_break in text]
        if reported and not any(planted.expected_break in text for text in breaks_of(seed)):
            return seed, reported[0]
    return None


def main(names: list[str]) -> int:
    missed = 0
    for name, planted in PLANTED.items():
        if not names or name in names:
            first = find_break(planted, 0, MAX_SEEDS)
            print(f"{name}: {f'seed {first[0]}: {first[1]}' if first else 'not found'}", flush=True)
            missed += first is None
    return missed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
