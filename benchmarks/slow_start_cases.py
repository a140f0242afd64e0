"""Cases of `slow_start_fleet.py`: which hosts are cold, and what else happens to the fleet meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from slow_start_hosts import (
    COLD_US,
    MS,
    RETURN_AT_US,
    WARM_RATE,
    Host,
    S,
    all_but_one_pair,
    all_but_one_writer,
    every_second,
    one_pair,
)


@dataclass
class Case:
    """Parameters of one scenario; cells have three readers and three writers and are spread over two zones."""

    cold: Callable[[int, Host], bool]  # selects the cold hosts by index in the list and host
    cells: int = 4
    quota: tuple[float, ...] = (0.8,)  # tenants' quotas over the capacity of the warm hosts; empty: no tenants
    load: float = 0.9  # offered work over the capacity of the warm hosts of a stage
    burst: float = 1.5  # factor on the load from the hosts' return on
    dies: Callable[[int, Host], bool] = lambda at, host: False  # hosts that die for good
    death_delay_us: int = 0  # time of their death after the return
    rate: float = WARM_RATE
    by_work: bool = False  # cold hosts warm up by completed work only, not by time
    roots: int = 2  # factor of the allowance's margin; the operators' rules give 3 for a budget under 30
    full: Callable[[int, Host], bool] = lambda at, host: False  # hosts that answer every attempt with "full"
    downtime_us: int = 1 * S  # how long the cold hosts were down
    listed_after_us: tuple[int, int] = (300 * MS, 700 * MS)  # after the start, drawn per dispatcher
    clock_ahead_us: int = 0  # how far a cold host's clock is ahead
    started_at: int = 0  # when the dispatchers start
    traffic_exponent: float = 0.0  # exponent of the dispatchers' traffic by rank
    hot_prefix_share: float = 0.0  # share of the requests with one prefix, whose home is the first cold reader
    prefixes: int = 60
    repeats: int = 0  # immediate retries of a client, at a random dispatcher
    stagger_us: int = 0  # delay between the returns of consecutive cold hosts
    end_us: int = RETURN_AT_US + COLD_US


LISTED_LATE = (3 * S, 3_500 * MS)  # the list shows a start this much later
SHORT_END_US = RETURN_AT_US + 3 * S
# By case, its parameters and the numbers of dispatchers. The names are those in the tables of docs/design.md.
CASES: dict[str, tuple[Case, tuple[int, ...]]] = {
    "listed at once": (Case(one_pair), (20,)),
    # the hosts serve again 3 s before the dispatchers' lists show it
    "back before the list says so": (Case(one_pair, listed_after_us=LISTED_LATE, downtime_us=2 * S), (30, 200)),
    # the hosts start before the dispatchers
    "started before the processes did": (Case(one_pair, started_at=RETURN_AT_US + 500 * MS), (200,)),
    "half of all in an outage of discovery": (
        Case(every_second, listed_after_us=LISTED_LATE, downtime_us=2 * S),
        (30,),
    ),
    "half of all": (Case(every_second), (20, 200)),
    "every host": (Case(lambda at, host: True), (30, 200)),
    "every host, one after the other": (Case(lambda at, host: True, stagger_us=150 * MS), (30,)),
    # all hosts of one cell
    "the reader's cell": (Case(lambda at, host: host.entry.cell == 0), (30,)),
    # the policies reserve places at the writers before a read has ended
    "all writers, placed ahead": (Case(lambda at, host: not host.is_reader), (20, 30)),
    # few dispatchers send most of the requests
    "few carry most": (Case(one_pair, traffic_exponent=1.5), (200,)),
    # the hosts' clocks are an hour ahead, and so are the start times that they report
    "started in the future": (Case(one_pair, clock_ahead_us=3_600 * S), (30,)),
    # "repeats": clients send a refused request up to twice more, at random dispatchers
    "repeats: all others die": (Case(one_pair, dies=all_but_one_pair, repeats=2, end_us=SHORT_END_US), (20, 200)),
    "repeats: a zone dies": (
        Case(one_pair, dies=lambda at, host: host.entry.zone == "b", repeats=2, end_us=SHORT_END_US),
        (30,),
    ),
    "repeats: all others full": (Case(one_pair, full=all_but_one_pair, repeats=2, end_us=SHORT_END_US), (30, 200)),
    # three requests in ten have one prefix, whose home is the cold reader
    "a hot text": (Case(one_pair, hot_prefix_share=0.3), (30, 200)),
    # all writers but a cold one die, so it gets the work of all
    "survivors of a role": (
        Case(one_pair, dies=all_but_one_writer, death_delay_us=3 * S, rate=2.5, by_work=True, roots=3, repeats=2),
        (6, 200),
    ),
    # hosts warm up by completed work, not by time
    "warm by work": (Case(every_second, by_work=True), (6, 200)),
    "no start at all": (Case(lambda at, host: False, load=0.6, burst=1.0), (6, 200)),
}
