"""The duty `clock`: asks every member's page for its clock, and tells the fleet whose is out."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from yardspindle.core.fleet.clock_skew import ClockOffset, estimate_offset, find_skewed_clocks
from yardspindle.core.fleet.kv import Put
from yardspindle.core.fleet.members import ClockReport, FleetKeys, Member
from yardspindle.engine.http_client import HttpClient
from yardspindle.fleet.follow import Follower
from yardspindle.fleet.membership import Membership
from yardspindle.fleet.page import ask
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.world import World

ROUND_US = 1_000_000  # between two rounds of asking
SAY_US = 30_000_000  # how often offsets are told though nobody's standing changed
CONNECT_US, IDLE_US = 300_000, 4_000_000
AT_ONCE_MOST = 32  # pages asked side by side

log = structlog.get_logger("yardspindle.steward.clock")


class ClockDuty:
    """See Duty."""

    def __init__(
        self,
        world: World,
        store: Store,
        keys: FleetKeys,
        follower: Follower,
        membership: Membership,
        bound_us: int,
        act: Callable[[], int | None],
    ) -> None:
        """`bound_us`: how far a clock may be off; `act`: the fence to act with now, or None."""
        self._world, self._store, self._keys, self._follower = world, store, keys, follower
        self._membership, self._bound_us, self._act = membership, bound_us, act
        self._http = HttpClient(world, CONNECT_US, IDLE_US)
        self._said: ClockReport | None = None
        self._said_us = 0

    def run(self) -> None:
        """See Duty."""
        while True:
            own = self._membership.member
            epochs = {name: member.epoch for name, member in self._follower.view.members.items()} | {own.id: own.epoch}
            samples = self._ask_all()
            word = find_skewed_clocks(
                {name: row for name, row in samples.items() if name in epochs}, epochs, self._bound_us
            )
            now = self._world.now_us()
            if self._said is None or word.out != self._said.out or now - self._said_us > SAY_US:
                self._say(now, word)
            self._world.sleep_until(now + ROUND_US)

    def _ask_all(self) -> dict[str, ClockOffset]:
        samples = {self._membership.member.id: ClockOffset(0, 0)}
        waiting = [m for name, m in sorted(self._follower.view.members.items()) if name not in samples and m.page]

        def some() -> None:
            while waiting:
                self._ask(waiting.pop(), samples)

        for task in [self._world.spawn("ask clocks", some) for _ in range(min(AT_ONCE_MOST, len(waiting)))]:
            task.join()
        return samples

    def _ask(self, member: Member, samples: dict[str, ClockOffset]) -> None:
        before = self._world.now_us()
        _, word = ask(self._http, member.page)
        if word is not None and word.member.epoch == member.epoch:
            samples[member.id] = estimate_offset(before, word.now_us, self._world.now_us())

    def _say(self, now: int, word: ClockReport) -> None:
        fence = self._act()
        if fence is None:
            return
        try:
            if self._store.txn(
                self._keys.with_fence("clock", fence, Put(self._keys.clocks, msgspec.json.encode(word)))
            ).succeeded:
                self._said, self._said_us = word, now
                if word.out:
                    log.warning("clocks are out", epochs=list(word.out), offsets=word.offsets)
        except StoreError as error:
            log.info("clocks could not be told", reason=str(error))
