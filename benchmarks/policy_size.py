"""What the policy costs by the number of hosts: a list change, a whole request, a sweep over waiting requests.

Printed as ratios to the smallest fleet: absolute times say more of the machine.
"""

from __future__ import annotations

import time

from yardspindle import interface as i
from yardspindle.policy import SWEEP_TOKEN, Policy

SIZES = (10, 100, 300, 1_000)
REQUESTS, WAITING, TEXTS, ROUNDS = 200, 30, 40, 20


def fleet(hosts: int) -> tuple[i.Entry, ...]:
    return tuple(i.Entry(n + 1, "ab"[n % 2], "rw"[n % 5 < 2], n // 6, i.State.SERVING, 1.0) for n in range(hosts))


def ask(policy: Policy, number: int, now: int) -> list[i.Action]:
    return policy.handle(
        now,
        i.Request(number, "c", now + 7_500_000, 5_000.0, 3_000.0, prefix=f"p{number % TEXTS}", session=f"s{number}"),
    )


def sent(actions: list[i.Action]) -> int | None:
    return next((action.server for action in actions if isinstance(action, i.Send)), None)


def served(policy: Policy, number: int, now: int) -> None:
    reader = sent(ask(policy, number, now))
    if reader is None:
        return
    writer = sent(policy.handle(now + 1_000, i.Outcome(number, 0, reader, i.Status.READ, 100_000, False, 2_000)))
    if writer is not None:
        policy.handle(now + 2_000, i.First(number, 1, writer, 1_000))
        policy.handle(now + 3_000, i.Outcome(number, 1, writer, i.Status.SERVED, 1_000, True))


def costs(hosts: int) -> tuple[float, float, float]:
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
    listed = time.perf_counter()
    for number in range(REQUESTS):
        now += 5_000
        served(policy, number, now)
    asked = time.perf_counter()
    for number in range(WAITING):
        ask(policy, REQUESTS + number, now)
    ready = time.perf_counter()
    for at in range(ROUNDS):
        policy.handle(now + at, i.Timer(SWEEP_TOKEN))
    return (listed - began) / ROUNDS, (asked - listed) / REQUESTS, (time.perf_counter() - ready) / ROUNDS


def main() -> None:
    costs(SIZES[0])  # what is done once is not counted
    least = costs(SIZES[0])
    for hosts in SIZES:
        ratios = [cost / base for cost, base in zip(costs(hosts), least, strict=True)]
        print(f"{hosts:5} hosts: list {ratios[0]:6.1f}  request {ratios[1]:5.1f}  sweep {ratios[2]:5.1f}")


if __name__ == "__main__":
    main()
