"""The policy keeps the five rules over drawn sequences of legal events, and the ledger detects violations of them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as run
from hypothesis import strategies as st

from tests.ledger import Ledger, RuleViolation, settings
from yardspindle import Policy
from yardspindle import interface as i

FLEETS = ("rrwwrwww", "rw", "r", "w", "mmm", "rrmwrwmw", "rrrrwwrrww", "")


def run_policy(policy_class: type[Policy], seed: int, fleet: str, **overrides: object) -> Ledger:
    policy_settings = settings(**overrides)
    ledger = Ledger(policy_class(policy_settings, seed), policy_settings, seed)
    ledger.fleet(fleet)
    for _ in range(120):
        if ledger.entries:
            ledger.step()
        else:
            ledger.advance(5_000)
            ledger.ask()
    ledger.settle()
    return ledger


@run(max_examples=120, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.sampled_from(FLEETS), st.booleans(), st.booleans(), st.sampled_from([1, 2, 6]))
def test_rules_hold(seed: int, fleet: str, ahead: bool, writers_read: bool, attempts: int) -> None:
    run_policy(Policy, seed, fleet, ahead=ahead, writers_read=writers_read, max_attempts=attempts)


@run(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.sampled_from(FLEETS))
def test_rules_hold_with_all_allowed(seed: int, fleet: str) -> None:
    run_policy(Policy, seed, fleet, second_copies=True, probes=True, peers=True, resume=True)


class Forgets(Policy):
    """Sends no final answer for the requests that it refuses or fails."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        return [action for action in super().handle(now_us, event) if not isinstance(action, i.Refuse | i.Fail)]


class Repeats(Policy):
    """Refuses where it should fail."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        return [
            i.Refuse(action.request) if isinstance(action, i.Fail) else action
            for action in super().handle(now_us, event)
        ]


class Deaf(Policy):
    """Ignores changes of the server list."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Members) and event.list_kind is i.ListKind.CHANGES:
            return []
        return super().handle(now_us, event)


class Keeps(Policy):
    """Never releases held states."""

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        return [action for action in super().handle(now_us, event) if not isinstance(action, i.Discard)]


@pytest.mark.parametrize(
    ("broken", "rule"), [(Forgets, "answered"), (Repeats, "effects"), (Deaf, "drains"), (Keeps, "pinned")]
)
def test_ledger_sees_a_broken_policy(broken: type[Policy], rule: str) -> None:
    with pytest.raises(RuleViolation, match=rule):
        for seed in range(60):
            run_policy(broken, seed, "rrwwrwww")
