"""Shared pytest set-up: deterministic Hypothesis cases, known failures, and one dispatcher per test file."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.crossings import SharedStage, Stage
from tests.known_failures import KnownFailure, read_known_failures
from yardspindle.runtime.virtual_network import VirtualStream

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as strict expected failures: one that passes fails the run until it is taken off the list."""
    for item in items:
        for known in read_known_failures(KNOWN_FAILURES):
            if known.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=known.seen, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures."""
    known: list[KnownFailure] = read_known_failures(KNOWN_FAILURES)
    if known:
        terminalreporter.section("known failures, listed in KNOWN-RED.txt")
    for row in known:
        terminalreporter.line(f"{row.test}: {row.seen} ({row.issue}; {row.command})")


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SharedStage]:
    shared = SharedStage(tmp_path_factory.mktemp("node"))
    yield shared
    shared.close()


@pytest.fixture
def stage(shared: SharedStage) -> Stage:
    return shared.fresh()


@pytest.fixture
def read_before_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a program of the virtual World read what arrived before a reset, as kernels do."""
    receive_reset = VirtualStream.receive_reset

    def receive(stream: VirtualStream) -> None:
        if stream._inbox:
            stream._receive_eof()
        else:
            receive_reset(stream)

    monkeypatch.setattr(VirtualStream, "receive_reset", receive)
