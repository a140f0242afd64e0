"""Fault scenarios for a fleet of real programs; each injects faults and waits for the expected reaction."""

from __future__ import annotations

import signal
from collections.abc import Callable

from tests.fleet_check import check
from tests.processes import Processes, S

DUTY_COUNT = 3  # clock, release and the sweep of one cell


def start_fleet(p: Processes, stewards: int = 3) -> None:
    p.store()
    p.engine("r0", "read")
    p.engine("w0", "write")
    p.write_server_list()
    p.dispatcher(0)
    for number in range(stewards):
        p.steward(f"s{number}")


def an_edge_that_is_killed_leaves_nothing_behind(p: Processes) -> None:
    start_fleet(p, 2)
    p.until("an owner", lambda: p.owner("sweep/0"))
    p.until("the edge", lambda: "edge/edge0" in p.rows("members/"))
    epoch = p.rows("members/")["edge/edge0"][0]["epoch"]
    assert p.chat()[0] == 200
    # The writer hangs, so the state is still held when the edge dies.
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


def start_balanced_fleet(p: Processes, stewards: int = 3) -> tuple[str, int]:
    """Start a fleet whose duties are spread evenly; returns the owner of the sweep and its fence."""
    start_fleet(p, stewards)
    p.until("the edge", lambda: "edge/edge0" in p.rows("members/"))

    def duties_are_spread() -> bool:  # after that no duty moves without a fault
        names = [row["name"] for row, _ in p.rows("duties/").values()]
        held = [names.count(f"s{number}") for number in range(stewards)]
        return len(names) == DUTY_COUNT and max(held) - min(held) < 2

    p.until("duties are spread", duties_are_spread, 30 * S)
    name, fence = p.until("an owner", lambda: p.owner("sweep/0"))
    # The store knows it first: an owner that is cut off before it has the store's answer never begins its duty.
    p.until("the owner knows its duty", lambda: p.logged(name, "duty taken", duty="sweep/0", fence=fence))
    return name, fence


def hold_a_state(p: Processes) -> str:
    """Leave a state at r0 that only a sweep releases, because its writer hangs."""
    p.call(p.ports["w0"], "POST", "/v1/lab/control", {"do": "hang"})
    p.world.spawn("chat", p.chat, 0, 400, "hold this", 8.0)
    return p.until("a hold", lambda: p.holds("r0"))[0]


def assert_rules_hold(p: Processes) -> None:
    assert check(p.folder, p.engines) == []


def engine_received_order(p: Processes, fence: int) -> bool:
    return any(row["ev"] == "order" and row["fence"] == fence for row in p.lines("r0"))


def wait_for_other_owner(p: Processes, than: str) -> tuple[str, int]:
    def look() -> tuple[str, int] | None:
        owner = p.owner("sweep/0")
        return owner if owner is not None and owner[0] != than else None

    return p.until("another owner", look)


def an_owner_that_was_stopped_wakes_up_late_and_does_no_harm(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    hold_a_state(p)
    relay = p.relays[f"r0 {name}"]
    p.until("the owner has swept the engine", lambda: engine_received_order(p, fence))
    relay.cut()
    p.kill("edge0")
    p.until("orders of the owner wait in sockets", lambda: relay.delayed_chunks)
    p.send(name, signal.SIGSTOP)
    stopped = p.world.now_us()
    _, later = wait_for_other_owner(p, name)
    assert later > fence
    p.until("nothing held", lambda: not p.holds("r0"))
    while p.world.now_us() - stopped < 3 * p.ttl_ms * 1_000:
        p.world.sleep_until(stopped + 3 * p.ttl_ms * 1_000)
    seen = len(p.lines("r0"))
    relay.restore()
    p.until(
        "an order of the old owner arrives",
        lambda: any(row["ev"] == "order" and row["fence"] == fence for row in p.lines("r0")[seen:]),
    )
    p.send(name, signal.SIGCONT)
    p.until("the old owner logs the end of its duty", lambda: p.logged(name, "duty ended"))
    p.until("the old owner is registered again", lambda: f"steward/{name}" in p.rows("members/"))
    assert p.owner("sweep/0") is not None
    assert_rules_hold(p)


def an_owner_cut_off_from_the_store_alone_stops_by_itself(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    p.relays[f"store {name}"].cut()
    cut = p.world.now_us()
    _, later = wait_for_other_owner(p, name)
    assert later > fence and p.world.now_us() - cut < 4 * p.ttl_ms * 1_000
    ended = p.until("the owner ends its duty by itself", lambda: p.logged(name, "duty ended", duty="sweep/0"))
    assert ended["why"] == "its lease could not be kept alive"
    p.relays[f"store {name}"].restore()
    p.until("the owner is registered again", lambda: f"steward/{name}" in p.rows("members/"))
    assert_rules_hold(p)


def an_edge_cut_off_from_the_store_keeps_what_it_holds(p: Processes) -> None:
    start_balanced_fleet(p, 2)
    hold = hold_a_state(p)
    p.relays["store edge0"].cut()
    p.until("the end of the edge's registration", lambda: "edge/edge0" not in p.rows("members/"))
    observe_until_us = p.world.now_us() + 2 * S
    while p.world.now_us() < observe_until_us:
        assert hold in p.holds("r0"), "the hold of a live edge was released after its registration had ended"
        p.world.sleep_until(p.world.now_us() + 50_000)
    p.call(p.ports["w0"], "POST", "/v1/lab/control", {"do": "wake"})
    assert p.chat()[0] == 200, "traffic goes on without the store"
    p.relays["store edge0"].restore()
    p.until("the edge is registered again", lambda: "edge/edge0" in p.rows("members/"))
    assert_rules_hold(p)


def a_stopped_edge_is_not_taken_for_a_dead_one(p: Processes) -> None:
    start_balanced_fleet(p, 2)
    hold = hold_a_state(p)
    p.send("edge0", signal.SIGSTOP)
    p.until("the end of the edge's registration", lambda: "edge/edge0" not in p.rows("members/"))
    observe_until_us = p.world.now_us() + 2 * S
    while p.world.now_us() < observe_until_us:
        assert hold in p.holds("r0")
        p.world.sleep_until(p.world.now_us() + 50_000)
    p.send("edge0", signal.SIGCONT)
    p.until("the edge is registered again", lambda: "edge/edge0" in p.rows("members/"))
    assert_rules_hold(p)


def answers_lost_at_the_take_over(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    p.control("lose", count=4)
    p.kill(name)
    other, later = wait_for_other_owner(p, name)
    assert later > fence
    p.until("the new owner logs the duty", lambda: p.logged(other, "duty taken", duty="sweep/0", fence=later))
    assert_rules_hold(p)


def leases_that_end_early(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    p.control("expire")
    newer = p.until(
        "the duty has a new fence",
        lambda: owner if (owner := p.owner("sweep/0")) is not None and owner[1] > fence else None,
    )
    p.until(
        "the previous owner logs the end of its duty", lambda: p.logged(name, "duty ended", duty="sweep/0", fence=fence)
    )
    p.until("the next owner logs the duty", lambda: p.logged(newer[0], "duty taken", duty="sweep/0", fence=newer[1]))
    p.until("all stewards are registered again", lambda: len(p.rows("members/steward/")) == 3)
    assert_rules_hold(p)


def two_processes_of_one_configuration_are_one_member(p: Processes) -> None:
    start_fleet(p, 1)
    p.until("an owner", lambda: p.owner("sweep/0"))
    p.child("copy", "steward", str(p.folder / "s0.toml"))
    p.until("the copy is refused", lambda: p.logged("copy", "not registered"))
    assert p.logged("copy", "duty taken") is None
    p.kill("s0")
    p.until("the copy takes its place", lambda: p.logged("copy", "duty taken", duty="sweep/0"))
    assert_rules_hold(p)


def a_store_that_is_away_and_comes_back_older_is_refused(p: Processes) -> None:
    p.store()
    p.control("mark")
    p.engine("r0", "read")
    p.engine("w0", "write")
    p.write_server_list()
    p.dispatcher(0)
    p.steward("s0")
    p.until("an owner", lambda: p.owner("sweep/0"))
    p.control("no_leader")
    p.until("the steward ends its duty by itself", lambda: p.logged("s0", "duty ended", duty="sweep/0"))
    assert p.chat()[0] == 200, "traffic goes on without the store"
    p.control("restore")
    p.control("leader")
    logged = p.until(
        "the steward logs that the store's revision went back",
        lambda: p.logged("s0", "the store went back; nothing is taken from it or written to it"),
    )
    assert "but an earlier answer had revision" in logged["reason"]
    assert p.owner("sweep/0") is None and p.chat()[0] == 200
    assert_rules_hold(p)


def all_stewards_killed_at_once(p: Processes) -> None:
    _, fence = start_balanced_fleet(p)
    hold_a_state(p)
    for name in ("s0", "s1", "s2", "edge0"):
        p.kill(name)
    p.steward("s3")
    owner = p.until(
        "an owner", lambda: owner if (owner := p.owner("sweep/0")) is not None and owner[1] > fence else None
    )
    assert owner[0] == "s3"
    p.until("a steward that did not see the edge end has its holds released", lambda: not p.holds("r0"))
    assert_rules_hold(p)


def all_but_the_owner_race(p: Processes) -> None:
    name, _ = start_balanced_fleet(p)
    p.kill(name)
    wait_for_other_owner(p, name)
    p.until(
        "a second steward logs the duty",
        lambda: len([n for n in ("s0", "s1", "s2") if p.logged(n, "duty taken", duty="sweep/0")]) > 1,
    )
    assert_rules_hold(p)


def an_edge_lives_while_another_dies(p: Processes) -> None:
    start_fleet(p, 1)
    p.dispatcher(1, 2)
    p.until("both edges", lambda: len(p.rows("members/edge/")) == 2)
    hold = hold_a_state(p)
    p.kill("edge1")
    p.until("the steward logs that an edge is gone", lambda: p.logged("s0", "an edge is gone for good"))
    at = p.world.now_us()
    p.until("engines were swept since", lambda: any(row["ev"] == "order" and row["t"] > at for row in p.lines("r0")))
    assert hold in p.holds("r0")
    assert_rules_hold(p)


def an_engine_that_was_restarted_refuses_an_old_order(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    relay = p.relays[f"r0 {name}"]
    p.until("the owner has swept the engine", lambda: engine_received_order(p, fence))
    relay.reset()
    relay.cut()
    p.kill("edge0")
    p.until("an order of the owner waits in a socket", lambda: relay.delayed_chunks)
    p.send(name, signal.SIGSTOP)
    _, later = wait_for_other_owner(p, name)
    p.until("the next owner sends an order to the engine", lambda: engine_received_order(p, later))
    p.kill("r0")
    p.engine("r0", "read", port=p.ports["r0"])
    seen = len(p.lines("r0"))
    relay.restore()
    p.until(
        "the old order arrives",
        lambda: any(row["ev"] == "order" and row["fence"] == fence for row in p.lines("r0")[seen:]),
    )
    assert_rules_hold(p)


def handing_over_on_purpose_takes_less_than_a_tenth_of_a_second(p: Processes) -> None:
    name, fence = start_balanced_fleet(p)
    p.send(name, signal.SIGTERM)
    assert p.children[name].wait(p.world.now_us() + 5 * S) == 0
    other, later = wait_for_other_owner(p, name)
    rows = [row for row in p.lines("store") if row["ev"] == "call" and row["path"] == "/v3/kv/txn"]
    ends = [row["t"] for row in rows if "request_delete_range" in str(row["call"]) and row["answer"].get("succeeded")]
    takes = [row["t"] for row in rows if int(row["answer"]["header"]["revision"]) == later]
    assert any(0 <= takes[0] - end < 100_000 for end in ends), (ends, takes)
    assert_rules_hold(p)


def clocks_are_told(p: Processes) -> None:
    """The owner of the clock duty writes its report of clock offsets to the store.

    Not in SCENARIOS: run only with the planted fault that such writes do not compare the fence.
    """
    start_balanced_fleet(p, 1)
    p.until("a report of clock offsets in the store", lambda: p.rows("clocks"))


SCENARIOS: list[Callable[[Processes], None]] = [
    an_edge_that_is_killed_leaves_nothing_behind,
    an_owner_that_was_stopped_wakes_up_late_and_does_no_harm,
    an_owner_cut_off_from_the_store_alone_stops_by_itself,
    an_edge_cut_off_from_the_store_keeps_what_it_holds,
    a_stopped_edge_is_not_taken_for_a_dead_one,
    answers_lost_at_the_take_over,
    leases_that_end_early,
    two_processes_of_one_configuration_are_one_member,
    a_store_that_is_away_and_comes_back_older_is_refused,
    all_stewards_killed_at_once,
    an_edge_lives_while_another_dies,
    all_but_the_owner_race,
    an_engine_that_was_restarted_refuses_an_old_order,
    handing_over_on_purpose_takes_less_than_a_tenth_of_a_second,
]
