"""The soak's judge takes off the time in which the machine kept the responsible process from running, and no more."""

from __future__ import annotations

import json
import os
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from time import monotonic, sleep
from typing import Any, cast

import pytest

from tests.crossing_ledger import CLIENTS, make_request
from tests.crossing_messages import Message
from tests.soak_host import SoakHost, describe_connection
from tests.soak_judge import judge_run
from tests.soak_parties import DispatcherRun
from tests.soak_withheld import SoakLedger, WithheldTime

RELEASE_S, GRACE_S, DEADLINE_MS = 0.3, 0.25, 700
OVER_S = 0.2  # by how much each case is over its bound
BUSY = "import os, sys\nprint(flush=True)\nos.sched_setaffinity(0, {int(sys.argv[1])})\nwhile True: pass"
Wait = tuple[str, float, float, float]  # process, begin, end, seconds withheld in between
Case = Callable[[DispatcherRun], list[dict[str, Any]]]


def measured(*waits: Wait) -> WithheldTime:
    withheld = WithheldTime()
    withheld.close()
    withheld.waits.clear()
    for process, *wait in waits:
        withheld.waits[process].append((wait[0], wait[1], wait[2]))
    return withheld


def row(at: float, what: str, role: str = "read", **more: Any) -> dict[str, Any]:
    return {"at": at, "what": what, "id": "a", "host": f"{role}er-0", "role": role, **more}


def taken(at: float, role: str = "read", told: float = 1.0, attempt: str = "1") -> dict[str, Any]:
    return row(at, "taken", role, attempt=attempt, first=at, arrived=at, told=told)


def over(at: float, how: int = 503, role: str = "read", attempt: str = "1", **more: Any) -> dict[str, Any]:
    return row(at, "over", role, attempt=attempt, how=how, **more)


def answer(run: DispatcherRun, at: float, status: int = 503, body: bytes = b"", whole: bool = True) -> None:
    message = Message(b"HTTP/1.1 %d x" % status, {}, body, whole)
    run.ledger.requests[0].answers.append((at, message))


def held(run: DispatcherRun) -> list[dict[str, Any]]:
    run.ledger.requests[0].left_at = 10.1
    return [taken(10.0), over(10.1, 202, left=True), row(10.1 + 0.65 + OVER_S, "freed")]


def answered_late(run: DispatcherRun) -> list[dict[str, Any]]:
    answer(run, 10.0 + DEADLINE_MS / 1_000 + 0.5 + OVER_S)
    return []


def sent_to_draining(run: DispatcherRun) -> list[dict[str, Any]]:
    run.drains_reported["reader-0"], at = 10.0, 10.0 + GRACE_S + 0.05 + OVER_S
    answer(run, at + 0.02)
    return [taken(at), over(at + 0.01)]


def begun_after_leave(run: DispatcherRun) -> list[dict[str, Any]]:
    run.ledger.requests[0].left_at, at = 10.0, 10.0 + 0.1 + OVER_S
    return [taken(at), over(at + 0.01)]


def told_too_much(run: DispatcherRun) -> list[dict[str, Any]]:
    answer(run, 10.42)
    return [taken(10.4, told=DEADLINE_MS - 400 + 155 + OVER_S * 1_000), over(10.41)]


def stream_cut(run: DispatcherRun) -> list[dict[str, Any]]:
    answer(run, 10.3 + 0.3 + OVER_S, 200, b"x", whole=False)
    run.ledger.sigterm_at = 10.0
    return [
        taken(10.1),
        over(10.2, 202, left=True),
        taken(10.25, "write", attempt="2"),
        row(10.26, "stream", "write", attempt="2", events="xy"),
        over(10.3, 200, "write", attempt="2", finished=10.3),
    ]


def unanswered_after_sigterm(run: DispatcherRun) -> list[dict[str, Any]]:
    run.ledger.sigterm_at, run.killed = 10.0 - 0.75 - OVER_S, 13.0
    return []


def judge(case: Case, *waits: Wait, died: Sequence[dict[str, Any]] = ()) -> list[str]:
    ledger = SoakLedger(RELEASE_S, GRACE_S, "n0", measured(*waits))
    request = make_request("a", deadline_ms=DEADLINE_MS)
    request.sent_at, request.written = 10.0, len(request.data)
    ledger.requests.append(request)
    run = DispatcherRun("n0", ledger, cast(Any, None), Path("n0.log"))
    return judge_run(run, case(run), list(died), [])


CASES: list[tuple[Case, str, float]] = [
    (held, "held for", 10.15),
    (answered_late, "after its time", 10.2),
    (sent_to_draining, "after it was told to drain", 10.05),
    (begun_after_leave, "after its client left", 10.02),
    (told_too_much, "was told", 10.05),
    (stream_cut, "a stream cut", 10.35),
    (unanswered_after_sigterm, "taken late after SIGTERM", 9.3),
]


@pytest.mark.parametrize(("case", "text", "at"), CASES, ids=[case.__name__ for case, _, _ in CASES])
def test_only_the_time_withheld_from_the_dispatcher_in_the_span_is_taken_off(case: Case, text: str, at: float) -> None:
    def breaks(*waits: Wait) -> bool:
        found = judge(case, *waits)
        assert all(text in line for line in found) and len(found) <= 1, found
        return bool(found)

    more, less = OVER_S + 0.02, OVER_S - 0.02
    assert breaks(), "the process ran"
    assert not breaks(("n0", at, at + more, more))
    assert breaks(("n0", at, at + less, less)), "it ran long enough"
    assert breaks(("n1", at, at + more, more)), "another dispatcher"
    assert breaks(("n0", 5.0, 5.0 + more, more), ("n0", 20.0, 21.0, 1.0)), "outside the span"
    assert breaks(("n0", at, at + less, less), ("n0", at + 0.01, at + less, less - 0.01)), "two threads at once"


def test_a_host_is_responsible_only_next_to_what_it_records() -> None:
    freed = 10.1 + 0.65 + OVER_S
    assert not judge(held, ("reader-0", freed - 0.25, freed - 0.01, 0.24))
    assert judge(held, ("reader-0", freed - 0.50, freed - 0.26, 0.24)), "it had time to run before it recorded"
    assert not judge(held, ("reader-0", 10.1, 10.34, 0.24))
    assert judge(held, ("reader-1", 10.1, 10.34, 0.24)), "another host"


def test_the_clients_are_responsible_only_next_to_what_they_send_and_read() -> None:
    at = 10.0 + DEADLINE_MS / 1_000 + 0.5 + OVER_S
    assert not judge(answered_late, (CLIENTS, at - 0.25, at - 0.01, 0.24))
    assert judge(answered_late, (CLIENTS, at - 0.50, at - 0.26, 0.24)), "they had time to read"


def test_a_host_may_notice_the_end_of_a_connection_late_only_while_withheld() -> None:
    def two_attempts(run: DispatcherRun) -> list[dict[str, Any]]:
        answer(run, 10.6)
        return [taken(10.0), taken(10.3, attempt="2"), over(10.4, 0), over(10.5, attempt="2")]

    found = ["a: two attempts at once, at reader-0 and reader-0"]
    assert judge(two_attempts) == found
    assert judge(two_attempts, ("reader-0", 10.29, 10.39, 0.1)) == []
    assert judge(two_attempts, ("reader-0", 10.32, 10.39, 0.07)) == found
    assert judge(two_attempts, ("n0", 10.29, 10.39, 0.1)) == found


def test_an_attempt_at_a_killed_host_ends_when_the_host_may_have_been_dead() -> None:
    def released(at: float) -> Case:
        def case(run: DispatcherRun) -> list[dict[str, Any]]:
            answer(run, 10.4)
            return [taken(10.0), row(at, "freed")]

        return case

    death = {"host": "reader-0", "earliest": 10.1, "at": 10.15}  # killed, and known to have exited
    assert judge(released(10.12), died=[death]) == []
    assert judge(released(10.09), died=[death]) == ["a: released during its read"]
    assert judge(released(10.12), died=[death | {"host": "reader-1"}]) == ["a: released during its read"]


def test_an_attempt_ends_when_a_host_finds_its_connection_closed() -> None:
    def released(*rows: dict[str, Any], how: int = 0, **more: Any) -> Case:
        def case(run: DispatcherRun) -> list[dict[str, Any]]:
            answer(run, 10.4)
            return [taken(10.0), *rows, row(10.2, "freed", "write"), over(10.3, how, **more)]

        return case

    found, early = ["a: released during its read"], row(10.19, "closed", "write", attempt="1")
    assert judge(released()) == found
    assert judge(released(early)) == []
    assert judge(released(early, how=503, closed=True)) == []
    assert judge(released(early, how=503)) == found, "its host answered on it"
    assert judge(released(row(10.21, "closed", "write", attempt="1"))) == found, "not before the release"
    assert judge(released(row(10.19, "closed", "write", attempt="2"))) == found, "another attempt"


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_host_finds_an_attempt_closed_that_no_thread_has_noticed(how: str, tmp_path: Path) -> None:
    (tmp_path / "open").mkdir()
    host = SoakHost("writer-0", "write", tmp_path, "127.0.0.1", 0)
    dispatcher = socket.create_connection(host.listener.getsockname())
    accepted, peer = host.listener.accept()
    connection = describe_connection(accepted.getsockname(), peer)
    for name, target in (("a@reader-0 1.5", connection), ("ab@reader-0 2.5", connection)):
        (tmp_path / "open" / name).symlink_to(target)

    def found() -> list[tuple[str, str]]:
        host.record_closed_attempts(b"a")
        rows = [json.loads(line) for line in (tmp_path / "writer-0.jsonl").read_text().splitlines()]
        return [(row["what"], row["attempt"]) for row in rows]

    with host.log:
        with host.listener, accepted, dispatcher:
            assert found() == []
            dispatcher.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
            dispatcher.close()
            assert found() == [("closed", "reader-0 1.5")]
        assert found() == [("closed", "reader-0 1.5")] * 2, "both ends, and the listener, are closed"


def test_a_wait_counts_with_what_must_lie_in_the_span() -> None:
    withheld = measured(("n0", 10.0, 10.1, 0.06))
    assert withheld.seconds(("n0", 9.0, 11.0)) == pytest.approx(0.06)
    assert withheld.seconds(("n0", 10.03, 11.0)) == pytest.approx(0.03)
    assert withheld.seconds(("n0", 10.07, 11.0)) == withheld.seconds(("n0", 9.0, 10.03)) == 0.0


def test_processes_that_share_a_processor_are_measured_and_one_that_sleeps_is_not() -> None:
    processor = str(min(os.sched_getaffinity(0)))
    programs = {"n0": BUSY, "n1": BUSY, "asleep": "import time\nprint(flush=True)\ntime.sleep(60)"}
    withheld, begin = WithheldTime(), monotonic()
    processes = [
        subprocess.Popen([sys.executable, "-c", text, processor], stdout=subprocess.PIPE) for text in programs.values()
    ]
    try:
        withheld.pids.update(zip((process.pid for process in processes), programs, strict=True))
        for process in processes:  # each has started
            assert process.stdout is not None and process.stdout.readline()
        sleep(0.5)  # and is sampled
        since = monotonic()
        sleep(1.0)
    finally:
        withheld.close()
        for process in processes:
            process.kill()
            process.communicate()
    both = [withheld.seconds((name, since, since + 1.0)) for name in ("n0", "n1")]
    assert sum(both) > 0.7, "they cannot have run at the same time"
    assert withheld.seconds(("asleep", since, since + 1.0)) < 0.3, "stolen time at most"
    assert withheld.seconds(*((name, begin, since + 1.0) for name in programs)) <= since + 1.0 - begin


def test_sampling_goes_on_when_a_process_ends_as_it_is_sampled(monkeypatch: pytest.MonkeyPatch) -> None:
    """The sampling thread ended with it, and nothing was taken off from then on."""
    looked, glob, ended = threading.Semaphore(0), Path.glob, 1 << 30

    def glob_of_an_ended_process(path: Path, pattern: str) -> Iterator[Path]:
        if path == Path(f"/proc/{ended}/task"):
            looked.release()
            raise FileNotFoundError(path)
        return glob(path, pattern)

    monkeypatch.setattr(Path, "glob", glob_of_an_ended_process)
    withheld = WithheldTime()
    withheld.pids[ended] = "n0"
    assert looked.acquire(timeout=10.0) and looked.acquire(timeout=10.0)
    withheld.close()
