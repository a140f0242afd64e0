"""Several real programs, relays between them, and faults: one owner at a time, and nothing of a living edge let go."""

from __future__ import annotations

from pathlib import Path

from tests.processes import Processes, S, play


def small(p: Processes, stewards: int = 3) -> None:
    p.store()
    p.engine("r0", "read")
    p.engine("w0", "write")
    p.lists()
    p.dispatcher(0)
    for number in range(stewards):
        p.steward(f"s{number}")


def test_an_edge_that_is_killed_leaves_nothing_behind(tmp_path: Path) -> None:
    def test(p: Processes) -> None:
        small(p, 2)
        p.until("an owner", lambda: p.owner("sweep/0"))
        p.until("the edge", lambda: "edge/edge0" in p.rows("members/"))
        epoch = p.rows("members/")["edge/edge0"][0]["epoch"]
        assert p.chat()[0] == 200
        # A state that waits for a writer that hangs: held when the edge dies.
        p.call(p.ports["w0"], "POST", "/v1/lab/control", {"do": "hang"})
        thread = p.world.spawn("chat", p.chat, 0, 400, "hold this", 8.0)
        p.until("a hold", lambda: p.holds("r0"))
        p.kill("edge0")
        p.kill("planner0")
        died = p.world.now_us()
        assert all(hold.startswith(epoch) for hold in p.holds("r0"))
        p.until("the registration's end", lambda: "edge/edge0" not in p.rows("members/"))
        ended = p.world.now_us()
        p.until("nothing held", lambda: not p.holds("r0"))
        assert p.world.now_us() - ended < 2 * S, "within 2 s of its lease's end"
        assert ended - died < 3 * S
        thread.join()

    play(tmp_path, test)
