"""The virtual World alone: streams, cuts, half-closes, kills, stalls, clocks, messages."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from yardspindle.runtime.scheduler import Cancelled, Closed, DeadlineExceeded
from yardspindle.runtime.virtual import Simulation, VirtualWorld
from yardspindle.runtime.virtual_network import WINDOW_BYTES, VirtualStream
from yardspindle.runtime.world import ConnectError, MessageSocket, Stream, StreamError


def run(program: Callable[[Simulation, VirtualWorld, VirtualWorld], None], seed: int = 5) -> Simulation:
    sim = Simulation(seed)
    near, far = sim.program("near"), sim.program("far")
    sim.run("main", program, sim, near, far)
    assert sim.crashes == []
    return sim


def pair(near: VirtualWorld, far: VirtualWorld) -> tuple[Stream, Stream]:
    listener = far.listen("127.0.0.1", 0)
    stream = near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
    return stream, listener.accept()


def sleep(world: VirtualWorld, microseconds: int) -> None:
    world.sleep_until(world.now_us() + microseconds)


def test_a_writer_that_is_called_off_in_the_turn_in_which_it_could_go_on_writes_nothing_more() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        listener = far.listen("127.0.0.1", 0)
        one = near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        other = listener.accept()
        writer = near.spawn("writer", one.write, bytes(3 * WINDOW_BYTES))
        sleep(far, 10_000_000)
        got = 0
        while writer.parked:
            got += len(other.read(1_000))
        writer.cancel()
        writer.join()
        one.close()
        while piece := other.read(65_536):
            got += len(piece)
        assert got == WINDOW_BYTES

    run(main)


def test_streams_keep_order_fill_and_end() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        listener = far.listen("127.0.0.1", 0)
        one = near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        other = listener.accept()
        data = random.Random(1).randbytes(3 * WINDOW_BYTES)

        def write() -> None:
            one.write(data)
            one.close()

        writer = near.spawn("writer", write)
        sleep(far, 10_000_000)
        assert not writer.done, "the window is full"
        got = b""
        while piece := other.read(1_000):
            got += piece
        assert got == data
        other.write(b"nobody reads this")
        sleep(far, 100_000)
        with pytest.raises(StreamError):
            other.read()
        listener.close()
        with pytest.raises(ConnectError, match="refused"):
            near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        with pytest.raises(DeadlineExceeded), near.deadline(near.now_us() + 10**12):
            near.signal().wait()

    run(main)


def test_a_cut_holds_up_one_direction_and_loses_nothing() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        one, other = pair(near, far)
        sim.network.cut("near", "far")
        one.write(b"first")
        one.write(b"second")
        other.write(b"back")
        assert one.read() == b"back", "the other direction still works"
        with pytest.raises(DeadlineExceeded), far.deadline(far.now_us() + 5_000_000):
            other.read()
        with pytest.raises(ConnectError, match="in time"):
            far.connect("127.0.0.1", near.listen("127.0.0.1", 0).port, far.now_us() + 1_000_000)
        sim.network.restore("near", "far")
        got = b""
        while len(got) < 11:
            got += other.read()
        assert got == b"firstsecond"

    run(main)


def test_bandwidth_takes_its_time() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        one, other = pair(near, far)
        sim.network.path("near", "far").bytes_per_s = 10_000
        started, got = sim.now_us(), 0
        one.write(bytes(20_000))
        while got < 20_000:
            got += len(other.read())
        assert 2_000_000 <= sim.now_us() - started < 2_200_000

    run(main)


def test_a_half_closed_stream_still_reads() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        one, other = pair(near, far)
        assert isinstance(one, VirtualStream)
        one.write(b"question")
        one.send_eof()
        assert other.read(100)[:1] == b"q"
        while other.read():
            pass
        other.write(b"answer")
        assert one.read(1) == b"a"
        with pytest.raises(StreamError):
            one.write(b"more")

    run(main)


def test_a_killed_program_has_no_effect_any_more() -> None:
    effects: list[str] = []

    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        one, other = pair(near, far)

        def stubborn() -> None:
            try:
                sleep(far, 10_000_000)
            finally:
                far.append_file("after", b"x")
                far.call_at(far.now_us() + 1_000, lambda: effects.append("called"))
                with pytest.raises(StreamError):
                    other.write(b"last words")
                with pytest.raises(Cancelled):
                    far.spawn("more", effects.append, "spawned")

        far.spawn("stubborn", stubborn)
        far.call_at(far.now_us() + 2_000_000, lambda: effects.append("timer"))
        sleep(near, 1_000_000)
        far.kill()
        with pytest.raises(StreamError):
            while one.read():
                pass
        sleep(near, 5_000_000)
        assert far.tasks == [] and "after" not in sim.files
        again = sim.program("far")
        assert again.random("x").random() != far.random("x").random(), "a restarted program draws other numbers"

    run(main)
    assert effects == []


def test_a_stalled_program_takes_bytes_and_does_nothing_until_it_goes_on() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        one, other = pair(near, far)
        seen: list[tuple[str, int]] = []

        def reader() -> None:
            seen.append((other.read(100).decode(), far.now_us()))

        far.spawn("reader", reader)
        far.call_at(far.now_us() + 100_000, lambda: seen.append(("timer", far.now_us())))
        started = sim.now_us()
        far.stall()
        one.write(b"x")
        sleep(near, 3_000_000)
        assert seen == []
        far.resume()
        sleep(near, 1_000)
        assert sorted(name for name, _ in seen) == ["timer", "x"]
        assert all(at >= started + 3_000_000 for _, at in seen)

    run(main)


def test_clocks_stand_apart_and_never_go_back() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        far.step(2_000_000)
        assert far.now_us() == near.now_us() + 2_000_000
        before = sim.now_us()
        sleep(far, 500_000)
        assert 500_000 <= sim.now_us() - before < 510_000, "a duration is the same on any clock"
        now = far.now_us()
        far.step(-300_000)
        assert far.now_us() == now
        sleep(near, 400_000)
        assert now < far.now_us() < now + 200_000

    run(main)


@pytest.mark.parametrize(
    ("name", "check"),
    [
        ("loss_rate", lambda got: got == sorted(got) and 10 < len(got) < 90),
        ("duplicate_rate", lambda got: len(got) > 110 and set(got) == set(range(100))),
        ("reorder_rate", lambda got: got != sorted(got) and sorted(got) == list(range(100))),
    ],
)
def test_messages_are_lost_doubled_and_out_of_order(name: str, check: Callable[[list[int]], bool]) -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        publisher = near.message_socket("pub", "127.0.0.1", 0)
        subscriber: MessageSocket = far.message_socket("sub", "127.0.0.1", publisher.port, b"t")
        setattr(sim.network.path("near", "far"), name, 0.4)
        got: list[int] = []

        def follow() -> None:
            try:
                while True:
                    got.append(int(subscriber.receive()[1]))
            except Closed:
                pass

        far.spawn("follow", follow)
        for number in range(100):
            publisher.send([b"t", b"%d" % number])
            sleep(near, 10_000)
        sleep(near, 1_000_000)
        assert check(got), got
        subscriber.close()

    run(main)


def test_refused_and_hanging_connects() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        listener = far.listen("127.0.0.1", 0)
        path = sim.network.path("near", "far")
        path.refused = 1
        with pytest.raises(ConnectError, match="refused"):
            near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        path.refused, path.hanging = 0, 1
        before = sim.now_us()
        with pytest.raises(ConnectError, match="in time"):
            near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        assert sim.now_us() - before >= 1_000_000
        # past the caller's deadline nothing is known about the peer
        with pytest.raises(DeadlineExceeded), near.deadline(sim.now_us() + 20_000):
            near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)
        sim.scheduler.timers.set(sim.now_us() + 200_000, lambda: setattr(path, "hanging", 0))
        assert near.connect("127.0.0.1", listener.port, near.now_us() + 1_000_000)

    run(main)


def test_a_listener_and_the_same_port_twice() -> None:
    def main(sim: Simulation, near: VirtualWorld, far: VirtualWorld) -> None:
        listener: Any = far.listen("127.0.0.1", 7_000)
        with pytest.raises(OSError, match="in use"):
            near.listen("127.0.0.1", 7_000)
        far.kill()
        assert near.listen("127.0.0.1", 7_000).port == 7_000
        with pytest.raises(Closed):
            listener.accept()

    run(main)
