"""Cost of the policy by number of hosts: a list change, a complete request, a check of all waiting requests (sweep).

Printed as ratios to the smallest fleet, because absolute times depend on the machine.
"""

from __future__ import annotations

import time

from yardspindle import interface as i
from yardspindle.policy import SWEEP_TOKEN, Policy

SIZES = (10, 100, 300, 1_000)
REQUESTS, WAITING_REQUESTS, PREFIXES, ROUNDS = 200, 30, 40, 20


def fleet(hosts: int) -> tuple[i.Entry, ...]:
    return tuple(i.Entry(n + 1, "ab"[n % 2], "rw"[n % 5 < 2], n // 6, i.State.SERVING, 1.0) for n in range(hosts))


def send_request(policy: Policy, number: int, now: int) -> list[i.Action]:
    return policy.handle(
        now,
        i.Request(number, "c", now + 7_500_000, 5_000.0, 3_000.0, prefix=f"p{number % PREFIXES}", session=f"s{number}"),
    )


def target_server(actions: list[i.Action]) -> int | None:
    return next((action.server for action in actions if isinstance(action, i.Send)), None)


def serve_request(policy: Policy, number: int, now: int) -> None:
    reader = target_server(send_request(policy, number, now))
    if reader is None:
        return
    writer = target_server(
        policy.handle(now + 1_000, i.Outcome(number, 0, reader, i.Status.READ, 100_000, False, 2_000))
    )
    if writer is not None:
        policy.handle(now + 2_000, i.First(number, 1, writer, 1_000))
        policy.handle(now + 3_000, i.Outcome(number, 1, writer, i.Status.SERVED, 1_000, True))


def measure(hosts: int) -> tuple[float, float, float]:
    policy = Policy(
        i.Settings(
            me=0,
            instances=1_024,
            zone="a",
            classes=(i.RequestClass("c", 1_500_000, 7_500_000),),
            kinds=(i.Kind("r", i.Role.READ), i.Kind("w", i.Role.WRITE, 150_000.0)),
            cross_zone_price=1.0,
        ),
        seed=1,
    )
    now = 1_000_000
    began = time.perf_counter()
    for version in range(ROUNDS):
        policy.handle(now, i.Members(i.ListKind.COMPLETE, version, fleet(hosts)))
    lists_done = time.perf_counter()
    for number in range(REQUESTS):
        now += 5_000
        serve_request(policy, number, now)
    requests_done = time.perf_counter()
    for number in range(WAITING_REQUESTS):
        send_request(policy, REQUESTS + number, now)
    sweep_began = time.perf_counter()
    for at in range(ROUNDS):
        policy.handle(now + at, i.Timer(SWEEP_TOKEN))
    return (
        (lists_done - began) / ROUNDS,
        (requests_done - lists_done) / REQUESTS,
        (time.perf_counter() - sweep_began) / ROUNDS,
    )


def main() -> None:
    measure(SIZES[0])  # warm-up: one-time costs are not counted
    smallest = measure(SIZES[0])
    for hosts in SIZES:
        ratios = [cost / base for cost, base in zip(measure(hosts), smallest, strict=True)]
        print(f"{hosts:5} hosts: list {ratios[0]:6.1f}  request {ratios[1]:5.1f}  sweep {ratios[2]:5.1f}")


if __name__ == "__main__":
    main()
