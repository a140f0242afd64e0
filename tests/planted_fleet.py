"""Planted faults for the programs of a fleet: `python -m tests.planted_fleet NAME ARGUMENTS...` runs with one."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from yardspindle.core.fleet import duty_assignment, ownership
from yardspindle.core.fleet.fences import FenceRegistry
from yardspindle.core.fleet.kv import Txn
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.sweep import EndedEpochs, ProbeResult
from yardspindle.fleet.store.etcd import EtcdStore
from yardspindle.lab.engine_holds import HoldRegistry
from yardspindle.steward import app, sweep

PLANTED: dict[str, Callable[[], None]] = {}


def plant(function: Callable[[], None]) -> Callable[[], None]:
    PLANTED[function.__name__] = function
    return function


def _swap(owner: Any, name: str, wrap: Callable[[Any], Any]) -> None:
    setattr(owner, name, wrap(getattr(owner, name)))


def _no_compare(make: Callable[..., Txn]) -> Callable[..., Txn]:
    return lambda *arguments: replace(make(*arguments), compare=())


@plant
def a_duty_is_taken_without_looking() -> None:
    """A duty is acquired without the comparison that it is free.

    Each steward ranks itself first, else the first candidate alone would try and no other would race with it.
    """
    _swap(FleetKeys, "acquire", _no_compare)
    _swap(
        duty_assignment,
        "candidate_orders",
        lambda real: (
            lambda free, holders, names: {
                duty: sorted(order, key=lambda name: name != _own_name[0])
                for duty, order in real(free, holders, names).items()
            }
        ),
    )
    _swap(app.Steward, "__init__", _remember_name)


_own_name = [""]  # of this process's steward


def _remember_name(real: Callable[..., None]) -> Callable[..., None]:
    def init(self: app.Steward, *arguments: Any) -> None:
        real(self, *arguments)
        _own_name[0] = self.name

    return init


@plant
def a_duty_is_handed_over_without_the_fence() -> None:
    _swap(FleetKeys, "hand_over", _no_compare)


@plant
def the_fleet_is_written_to_without_the_fence() -> None:
    _swap(FleetKeys, "with_fence", _no_compare)


@plant
def an_engine_obeys_any_fence() -> None:
    _swap(FenceRegistry, "admits", lambda real: lambda self, duty, fence: real(self, duty, fence) or True)


@plant
def an_engine_forgets_its_fences() -> None:
    _swap(HoldRegistry, "_known_fences", lambda real: lambda self: {})


@plant
def an_ended_lease_is_taken_for_a_death() -> None:
    _swap(
        EndedEpochs,
        "record_probe",
        lambda real: lambda self, now, epoch, answer, found: real(self, now, epoch, ProbeResult.REFUSED, ""),
    )


@plant
def silence_is_taken_for_a_death() -> None:
    _swap(
        EndedEpochs,
        "record_probe",
        lambda real: (
            lambda self, now, epoch, answer, found: real(
                self, now, epoch, ProbeResult.REFUSED if answer is ProbeResult.NO_ANSWER else answer, found
            )
        ),
    )


@plant
def everybodys_holds_are_released() -> None:
    _swap(sweep, "holds_to_release", lambda real: lambda holds, gone: list(holds))


@plant
def a_fence_is_guessed() -> None:
    """The fence is one above the key's create revision: the store never gave this fence to the duty."""
    _swap(app, "decode_holder", lambda real: lambda row: replace(real(row), fence=row.create + 1))


@plant
def a_store_that_went_back_is_used() -> None:
    _swap(EtcdStore, "_check_header", lambda real: lambda self, before, header: None)
    _swap(
        ownership,
        "step",
        lambda real: (
            lambda state, now, event: real(
                replace(state, view=ownership.DutyView()) if isinstance(event, ownership.ViewUpdated) else state,
                now,
                event,
            )
        ),
    )


def main() -> None:
    from yardspindle.cli.main import main as program

    PLANTED[sys.argv.pop(1)]()
    program()


if __name__ == "__main__":
    main()
