"""The link between edge and planner, against scripted peers that are slow, malformed, outdated or disconnected."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from yardspindle import interface as i
from yardspindle.core.config import parse, settings_hash
from yardspindle.edge import planner_link
from yardspindle.edge.planner_link import PlannerLink
from yardspindle.link import frames
from yardspindle.planner import app
from yardspindle.planner.app import Planner
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import Stream, StreamError

CONFIG = parse("c", b"[planner]\nlisten = '127.0.0.1:0'")
HELLO = frames.Hello(frames.VERSION, 0, 1, "z", 5_000_000, settings_hash(CONFIG))
LIST = """count = 2
[[servers]]
name = "r"
address = "127.0.0.1:1"
kind = "reader"
[[servers]]
name = "w"
address = "127.0.0.1:2"
kind = "writer"
"""


class FakePlanner:
    """Accepts connections of edges and runs a script on each."""

    def __init__(self, world: RealWorld, script: Callable[[Stream], None]) -> None:
        self.world, self.script = world, script
        self.listener = world.listen("127.0.0.1", 0)
        self.log: list[str] = []
        world.spawn("planner", self.accept)
        self.link = PlannerLink(
            world,
            ("127.0.0.1", self.listener.port),
            lambda: HELLO,
            lambda epoch: self.log.append(f"up {epoch}"),
            lambda: self.log.append("down"),
            lambda servers: self.log.append(f"servers {len(servers)}"),
            lambda epoch, actions: self.log.append(f"{epoch}: {actions}"),
            1_000_000,
        )
        self.task = world.spawn("link", self.link.run)

    def accept(self) -> None:
        while True:
            stream = self.listener.accept()
            with contextlib.suppress(StreamError):
                self.script(stream)
            stream.close()

    def until(self, *wanted: str) -> None:
        with self.world.deadline(self.world.now_us() + 5_000_000):
            while not all(text in self.log for text in wanted):
                self.world.sleep_until(self.world.now_us() + 1_000)


def welcome(epoch: int, *more: frames.Frame) -> bytes:
    return b"".join(frames.encode(frame) for frame in (frames.Welcome(frames.VERSION, epoch), *more))


def run_edge_link(script: Callable[[Stream], None], use: Callable[[FakePlanner], Any]) -> Any:
    world = RealWorld(1)
    return world.run("main", lambda: use(FakePlanner(world, script)))


def test_an_edge_greets_hears_and_comes_back_to_the_next_planner() -> None:
    epochs = iter(range(1, 99))

    def script(stream: Stream) -> None:
        stream.read()
        sent = frames.Actions(0, [frames.to_wire(i.Fail(4))])
        stream.write(welcome(next(epochs), frames.Servers(1, []), sent))

    def use(planner: FakePlanner) -> list[str]:
        planner.until("up 2", "2: [Fail(request=4)]")
        return planner.log

    log = run_edge_link(script, use)
    assert log[:5] == ["up 1", "servers 0", "1: [Fail(request=4)]", "down", "up 2"]


@pytest.mark.parametrize(
    "sent",
    [
        frames.encode(frames.Welcome(99, 1)),
        frames.encode(frames.Bye("no")),
        frames.encode(frames.Servers(1, [])),
        b"GET / HTTP/1.1\r\n\r\n",
        b"",
    ],
)
def test_what_is_no_greeting_never_comes_up(sent: bytes) -> None:
    connections: list[int] = []

    def script(stream: Stream) -> None:
        stream.read()
        connections.append(1)
        if sent:
            stream.write(sent)

    def use(planner: FakePlanner) -> list[str]:
        with planner.world.deadline(planner.world.now_us() + 5_000_000):
            while len(connections) < 2:
                planner.world.sleep_until(planner.world.now_us() + 1_000)
        return planner.log

    assert run_edge_link(script, use) == []


def test_a_planner_that_takes_no_events_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planner_link, "MAX_PENDING_EVENTS", 2_000)

    def script(stream: Stream) -> None:
        stream.read()
        stream.write(welcome(1))
        planners[0].world.signal().wait()  # connected, but reads nothing more

    planners: list[FakePlanner] = []

    def use(planner: FakePlanner) -> list[str]:
        planners.append(planner)
        planner.until("up 1")
        with planner.world.deadline(planner.world.now_us() + 20_000_000):
            while "down" not in planner.log:
                for _ in range(500):
                    planner.link.send_event(i.Request(1, "chat" * 500, 1, 1.0))
                planner.world.sleep_until(planner.world.now_us() + 1_000)
                assert len(planner.link._pending_events) <= 2_000
        return planner.log

    assert run_edge_link(script, use)[:2] == ["up 1", "down"]


def run_planner(folder: Path, use: Callable[[RealWorld, Planner, Stream], Any]) -> Any:
    world = RealWorld(1)
    file = folder / "servers.toml"
    file.write_text(LIST)

    def main() -> Any:
        config = parse("c", f"[planner]\nlisten = '127.0.0.1:0'\nservers = '{file}'\nreread_ms = 5".encode())
        planner = Planner(world, config)
        host, port = planner.start()
        return use(world, planner, world.connect(host, port, world.now_us() + 1_000_000))

    return world.run("main", main)


def frames_until(stream: Stream, reader: frames.FrameReader, kind: type[Any]) -> list[frames.Frame]:
    received: list[frames.Frame] = []
    while not any(isinstance(frame, kind) for frame in received):
        data = stream.read()
        if not data:
            raise EOFError
        received += reader.feed(data)
    return received


def test_a_planner_welcomes_tells_its_list_decides_and_tells_of_changes(tmp_path: Path) -> None:
    def use(world: RealWorld, planner: Planner, stream: Stream) -> None:
        reader = frames.FrameReader()
        stream.write(frames.encode(HELLO))
        received = frames_until(stream, reader, frames.Servers)
        assert isinstance(received[0], frames.Welcome) and received[0].epoch == planner.epoch
        request = i.Request(1, "chat", 9_000_000, 100.0)
        stream.write(frames.encode(frames.Events(1, 5_000_100, [frames.to_wire(request)])))
        actions = frames_until(stream, reader, frames.Actions)[-1]
        assert isinstance(actions, frames.Actions) and actions.answers == 1
        assert [frames.from_wire(action) for action in actions.actions] == [i.Send(1, 1), i.Ahead(1, 2)]
        (tmp_path / "servers.toml").write_text(LIST.replace('name = "r"', 'name = "r"\nstate = "draining"'))
        update = frames_until(stream, reader, frames.Servers)[-1]
        assert isinstance(update, frames.Servers) and update.servers[0].state is i.State.DRAINING

    run_planner(tmp_path, use)


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        (frames.encode(frames.Hello(99, 0, 1, "z", 1, HELLO.settings_hash)), "version"),
        (frames.encode(frames.Hello(1, 0, 1, "z", 1, "other")), "differ"),
        (frames.encode(frames.Events(1, 1, [])), "version"),
    ],
)
def test_a_planner_says_why_it_does_not_serve_an_edge(tmp_path: Path, sent: bytes, reason: str) -> None:
    def use(world: RealWorld, planner: Planner, stream: Stream) -> None:
        stream.write(sent)
        bye = frames_until(stream, frames.FrameReader(), frames.Bye)[0]
        assert isinstance(bye, frames.Bye) and reason in bye.reason
        assert stream.read() == b"" and not planner.sessions

    run_planner(tmp_path, use)


def test_an_edge_that_takes_no_actions_is_cut_off(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(app, "WRITE_TIMEOUT_US", 50_000)

    def use(world: RealWorld, planner: Planner, stream: Stream) -> None:
        stream.write(frames.encode(HELLO))
        frames_until(stream, frames.FrameReader(), frames.Servers)
        many = frames.Actions(0, [frames.to_wire(i.Fail(number)) for number in range(2_000)])
        with world.deadline(world.now_us() + 20_000_000):
            while planner.sessions:
                planner.sessions[0].send(many)
                world.sleep_until(world.now_us() + 1_000)

    run_planner(tmp_path, use)
