"""What the stand-in engine records of an answer that its client cuts off."""

from __future__ import annotations

from pathlib import Path

import openai
import pytest

from tests.fleet_thread import FleetThread
from yardspindle.api.exchange import Exchange
from yardspindle.engine.vllm import COMPLETIONS
from yardspindle.runtime.world import StreamError


@pytest.mark.parametrize("seen_first", [True, False])
def test_an_answer_cut_off_is_recorded_with_its_tokens(tmp_path: Path, seen_first: bool) -> None:
    """The engine sees the close of a connection before its next write, or it is that write that fails."""
    with FleetThread(tmp_path) as fleet:
        engine = next(engine for engine in fleet.engines if engine.settings.role == "write")
        handle = engine.handle

        def cut_off(exchange: Exchange) -> None:
            write, count = exchange.stream.write, 0

            def write_three(data: bytes) -> None:
                nonlocal count
                count += 1
                if count > 3:
                    raise StreamError("Broken pipe")
                write(data)
                if count == 3 and seen_first:
                    exchange.client_disconnected()

            if exchange.head.target == COMPLETIONS:
                exchange.stream.write = write_three  # type: ignore[method-assign]
            handle(exchange)

        engine.handle = cut_off  # type: ignore[method-assign]
        client = openai.OpenAI(base_url=fleet.url, api_key="none-needed", max_retries=0)
        with pytest.raises(openai.APIError):
            list(
                client.chat.completions.create(
                    model="yardspindle-demo",
                    messages=[{"role": "user", "content": "Hello"}],
                    max_tokens=50,
                    stream=True,
                )
            )
        fleet.until(lambda: len(fleet.events("end")) == 2 and not fleet.edge.core.lifecycle.requests)
        assert [(event["tokens"], event.get("whole")) for event in fleet.events("sent")] == [(3, None)]
        assert len(fleet.events("gone")) == 1
        assert [event["how"] for event in fleet.events("end") if event["stage"] == "write"] == ["client gone"]
        assert not fleet.crashes
