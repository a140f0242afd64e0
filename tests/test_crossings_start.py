"""Signals that arrive while the program waits for the first list of an agent that does not answer."""

from __future__ import annotations

import signal
from pathlib import Path
from time import monotonic

from tests.crossing_agent import Agent
from tests.crossing_messages import Message
from tests.crossing_parties import Client, SocketLoop
from tests.crossings import Stage
from tests.test_crossings_drain import CLOSE_S, EXIT_S, GIVE_UP_MS
from yardspindle.core.request import timeouts

FIRST_LIST_S = timeouts.FIRST_LIST_US / 1e6
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
PROMPT_S = 1.0  # much less than FIRST_LIST_S


class UpProber(Client):
    """A load balancer that keeps probing whether the program is up."""

    def __init__(self, stage: SocketLoop) -> None:
        self.statuses: list[int] = []
        super().__init__(stage)
        self.send(UP_REQUEST)

    def _on_answer(self, message: Message) -> None:
        self.statuses.append(message.status)
        if not self.end:
            self.send(UP_REQUEST)


def test_sigterm_comes_while_the_first_list_is_waited_for(tmp_path: Path) -> None:
    with Stage(tmp_path, GIVE_UP_MS, agent_answers=False) as stage:
        started_at = monotonic()
        prober, clients = UpProber(stage), [stage.client() for _ in range(2)]
        clients[0].ask("before", deadline_ms=1_300)
        read = stage.wait_call("read", "before")
        signalled_at = monotonic()
        stage.send_signal(signal.SIGTERM)
        assert stage.wait_log_line("draining") - signalled_at < PROMPT_S
        clients[1].ask("after", deadline_ms=1_300)
        read.answer(202)
        stage.serve_until_answered(*clients)
        assert [client.wait_answer().status for client in clients] == [200, 200]
        prober.wait_end()
        assert monotonic() - signalled_at < CLOSE_S + PROMPT_S
        assert stage.wait_exit() == 0
        assert monotonic() - signalled_at < EXIT_S + PROMPT_S and monotonic() - started_at < FIRST_LIST_S
        assert set(prober.statuses) == {503} and not [row for _, row in stage.log if row.startswith("ready")]
        stage.check()


def test_sighup_comes_while_the_first_list_is_waited_for(tmp_path: Path) -> None:
    with Stage(tmp_path, agent_answers=False) as stage:
        started_at = monotonic()
        stage.agent = Agent(stage, stage.hosts)
        stage.configure(stage.agent)
        stage.send_signal(signal.SIGHUP)
        stage.wait_log_line("ready")
        assert monotonic() - started_at < PROMPT_S
        client = stage.client()
        client.ask("a")
        stage.serve_until_answered(client)
        assert client.wait_answer().status == 200
        stage.check()
