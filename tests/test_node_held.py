"""What is held for a request while connections do not come up: an attempt is out only once its last byte is written."""

from __future__ import annotations

import pytest

from tests.platform_standin import SETTINGS, Host, Platform, read
from tests.test_node import play, readers, writers
from tests.test_node_cores import READER, RULES, WRITER, WRITER2, kinds, of, reading, sent, started
from yardspindle import interface as i
from yardspindle.core.request import commands as c
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.lifecycle import CONNECTS_HELD, PINNED_PART
from yardspindle.node.app import Node
from yardspindle.runtime.world import Stream

ID = b"9b1f03aa5c7e2d41"
RELEASE_US = SETTINGS["family-info"]["let-go-by-us"]


def freed(platform: Platform) -> list[int]:
    """When each word that lets go came to a host, from now on."""
    times: list[int] = []
    note = platform.note

    def noting(what: str, host: Host, number: bytes) -> None:
        note(what, host, number)
        if what == "free":
            times.append(platform.sim.now_us())

    platform.note = noting  # type: ignore[method-assign]
    return times


def test_a_state_is_let_go_of_in_time_though_no_writer_can_be_connected_to() -> None:
    """Three writers in a row took 250 ms each: the state that was to go there was held for 0.75 s."""
    def main(platform: Platform, node: Node) -> None:
        ended: list[int] = []

        def read_and_cut(host: Host, to: Stream, number: bytes) -> bool:
            for writer in writers(platform):
                platform.sim.network.cut("node", writer.name)
            went_on = read(host, to, number)
            ended.append(platform.sim.now_us())
            return went_on

        for host in readers(platform):
            host.script = read_and_cut
        times = freed(platform)
        assert platform.ask(ID, deadline_ms=2_000).status == 503
        platform.sleep(300_000)
        assert len(ended) > 1 and not platform.states  # it was read again, and nothing is left
        for end in ended:
            assert any(end < at < end + RELEASE_US for at in times)

    play(main)


def test_what_a_broken_read_left_is_let_go_of_though_no_other_reader_can_be_connected_to() -> None:
    """Each newer read put the word off: it was said only after the last connection that did not come up."""
    def main(platform: Platform, node: Node) -> None:
        broke: list[int] = []

        def break_off(host: Host, to: Stream, number: bytes) -> bool:
            platform.states.add(number)
            for other in readers(platform):
                if other is not host:
                    platform.sim.network.cut("node", other.name)
            broke.append(platform.sim.now_us())
            to.abort()
            return False

        for at in range(4):
            platform.add(f"reads-more-{at}", "reads", f"10.3.1.{at}:9000")
        platform.revision += 1
        platform.sleep(100_000)
        for host in readers(platform):
            host.script = break_off
        times = freed(platform)
        assert platform.ask(ID, deadline_ms=2_000).status == 503
        assert len(broke) == 1 and not platform.states
        assert times[0] - broke[0] < RELEASE_US

    play(main)


def test_an_attempt_that_was_never_written_restarts_no_clock_and_has_not_run() -> None:
    core = started()
    reading(core, "once")
    sent(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    assert kinds(core.act(10_000, 1, i.Send(1, WRITER))) == ["Write"]
    limit = core.life.held_connect_us
    assert limit is not None and CONNECTS_HELD * limit <= PINNED_PART * RULES.release_us
    core.attempt_ended(10_000 + limit, 1, 1, i.Status.CONNECT_FAILED)
    assert kinds(core.act(10_000 + limit, 1, i.Send(1, WRITER2))) == ["Write"]
    late = core.tick(10_001 + round(PINNED_PART * RULES.release_us))
    assert kinds(late) == ["Warn", "Abort", "Free"]
    (told,) = [command.event for command in of(c.TellPlanner, late)]
    assert (told.status, told.note, told.closed) == (i.Status.CONNECT_FAILED, 1, False)
    assert kinds(core.act(300_000, 1, i.Send(1, READER))) == ["Read"]  # an unsafe one: nothing of it has run
    assert not core.watch.last


@pytest.mark.parametrize("written", [False, True])
def test_a_write_that_is_out_is_waited_for(written: bool) -> None:
    core = started()
    reading(core)
    sent(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.act(10_000, 1, i.Send(1, WRITER))
    if written:
        sent(core, 1)
    assert ("Abort" in kinds(core.tick(300_000))) is not written


def test_the_watch_finds_what_is_held_behind_connections_that_do_not_come_up() -> None:
    core = started()
    reading(core)
    sent(core, 0)
    core.attempt_ended(10_000, 1, 0, i.Status.READ)
    core.act(10_000, 1, i.Send(1, WRITER))
    core.watch.check_time(10_000 + RULES.release_us)
    assert core.watch.last is None
    core.watch.check_time(10_001 + RULES.release_us)  # as if the life cycle had not looked at its clock
    assert core.watch.last is not None and core.watch.last.rule == "nothing left pinned"


def test_a_word_that_is_owed_is_said_while_a_reads_connection_is_made() -> None:
    core: EdgeCore = started()
    reading(core)
    sent(core, 0)
    (lost,) = of(c.Free, core.attempt_ended(1_000, 1, 0, i.Status.RESET))
    core.act(1_000, 1, i.Send(1, READER))
    assert core.rooms.owed and of(c.Free, core.room_settled(2_000, lost.room, lost.server.number, False))
    sent(core, 1)
    assert not core.rooms.owed  # from now on it would take what this read leaves
