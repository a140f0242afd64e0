"""Injected faults of one line each for a copy of the program, and the crossing test that has to find each.

Faults masked by a second layer are left out: the edge's interlocks and the policy both prevent sending an at-most-once
request twice and choosing a draining host.
"""

from __future__ import annotations

import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from tests import test_crossings as clients
from tests import test_crossings_hosts as hosts
from tests.crossings import Stage


@dataclass(frozen=True)
class Plant:
    """`line` of a file becomes `replacement`; `crossing` must then fail with `expected_break`."""

    file: str
    line: str
    replacement: str
    crossing: Callable[[Stage], None]
    expected_break: str


def patched(folder: Path, plant: Plant) -> Path:
    """Copies the package into the folder with the fault applied."""
    shutil.copytree(Stage.ROOT / "yardspindle", folder / "yardspindle", ignore=shutil.ignore_patterns("__pycache__"))
    file = folder / "yardspindle" / plant.file
    text = file.read_text()
    lines = [row.strip() for row in text.splitlines()]
    assert lines.count(plant.line) == 1, f"{plant.file}: must occur once: {plant.line}"
    at = lines.index(plant.line)
    rows = text.splitlines()
    rows[at] = rows[at].replace(plant.line, plant.replacement)
    file.write_text("\n".join(rows) + "\n")
    return folder


PLANTS = {
    "nobody_hears_that_a_client_has_gone": Plant(
        "node/app.py",
        "exchange.on_disconnect = self._on_disconnect(running)",
        "pass",
        lambda stage: clients.flood(stage, "close", 0),
        "after its client left",
    ),
    "cancelled_attempts_keep_running": Plant(
        "node/executor.py",
        "known.attempts.pop(attempt).cancel()",
        "known.attempts.pop(attempt)",
        lambda stage: clients.flood(stage, "rst", 0),
        "released during its read",
    ),
    "idle_connections_are_reused_unchecked": Plant(
        "runtime/real_sockets.py",
        "self._sock.recv(1, socket.MSG_PEEK)",
        "return True",
        lambda stage: hosts.second_answer(stage, "read", "first", rested=True),
        "written before it was read",
    ),
    # A connection is reused although more bytes followed the answer.
    "what_lies_behind_an_answer_is_kept": Plant(
        "engine/http_client.py",
        "if self.ended and http1.keeps_alive(self.head) and not self.connection.parser.buffered:",
        "if self.ended and http1.keeps_alive(self.head):",
        lambda stage: hosts.two_answers(stage, "read"),
        "written before it was read",
    ),
    # Releases are not sent.
    "nothing_is_let_go_of": Plant(
        "core/request/completion.py",
        "self._commands.append(c.ReleaseAll(record.request.request, record.may_hold_later))",
        "pass",
        lambda stage: clients.leaving_between(stage, "close"),
        "with no attempt out",
    ),
    # A release counts as confirmed without being sent.
    "a_release_is_taken_as_heard": Plant(
        "node/release_tasks.py",
        "acknowledged = self._hosts.release(server, self._ids[release.request], late_headers)",
        "acknowledged = True",
        lambda stage: clients.leaving_between(stage, "fin"),
        "with no attempt out",
    ),
    "a_reset_counts_as_never_sent": Plant(
        "node/host_client.py",
        "Status.ERROR if error.malformed else Status.RESET, detail=str(error), stale=error.stale",
        "Status.CONNECT_FAILED, detail=str(error)",
        lambda stage: hosts.cut_after_head(stage, "write", "order", True, b""),
        "though it may have run",
    ),
    "a_broken_answer_counts_as_a_refusal": Plant(
        "node/host_client.py",
        "return AttemptResult(Status.ERROR if error.malformed else Status.RESET, detail=str(error))",
        "return AttemptResult(Status.FULL)",
        lambda stage: hosts.cut_after_head(stage, "write", "order", False, hosts.CUTS["word"]),
        "though it may have run",
    ),
    "more_time_is_told_than_is_left": Plant(
        "node/executor.py",
        "return remaining_ms",
        "return 5_000",
        lambda stage: clients.first_token_and_deadline(stage, "ask", "first"),
        "was told 5000 ms",
    ),
    "events_are_dropped": Plant(
        "node/executor.py", "exchange.send(data)", "pass", clients.serve_two_requests, "a part passed on as whole"
    ),
    "a_broken_stream_counts_as_ended": Plant(
        "node/host_client.py",
        'raise ExchangeBroken("closed inside the stream")',
        "return None",
        lambda stage: hosts.broken_stream(stage, False),
        "a part passed on as whole",
    ),
    "a_stream_is_never_ended": Plant(
        "node/app.py",
        "exchange.finish()",
        "exchange.abort()",
        lambda stage: hosts.cut_after_head(stage, "read", "ask", False, b"HTTP/1.1 202 x\r\n"),
        "cut though its host had ended it",
    ),
    # After an answer sent before the end of the request, the connection is closed without reading the rest.
    "an_early_answer_is_not_lingered_for": Plant(
        "api/serving.py",
        "remaining = LINGER_BYTES",
        "remaining = 0",
        lambda stage: clients.early_answer(stage, "first", "class"),
        "reset under a request",
    ),
}
