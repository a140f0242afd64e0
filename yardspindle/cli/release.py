"""`yardspindle release ...`, `drain`, `undrain`: operator commands for releases and units, kept in the audit log.

A unit is a dispatcher or model host, which a release restarts with a new version. The commands write to the fleet's
shared key-value store; stewards (background processes) and unit supervisors act on it.
"""

from __future__ import annotations

from collections.abc import Callable

import click
import msgspec

from yardspindle.cli.common import CliError, load_config
from yardspindle.core.config import Config, ConfigError, Limit, decode_toml
from yardspindle.core.fleet import permits as p
from yardspindle.core.fleet import release_plan as r
from yardspindle.core.fleet.kv import prefix_end
from yardspindle.core.fleet.members import FleetKeys
from yardspindle.core.fleet.release_keys import AuditEntry, DrainRequest, ReleaseView, UnitKeys
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import OutcomeUnknown, Store, StoreError
from yardspindle.runtime.real import RealWorld

CONFIG = click.argument("config", type=click.Path(dir_okay=False))
BY = click.option("--by", required=True, help="Operator's name, for the audit log.")
WHY = click.option("--why", default="", help="Reason, for the audit log.")


def _with_store(file: str, action: Callable[[RealWorld, Config, Store, UnitKeys, ReleaseView], None]) -> None:
    config = load_config(file)
    if not config.fleet.store:
        raise CliError(f"{file}: fleet.store: missing")
    world = RealWorld()

    def run() -> None:
        try:
            store = open_store(world, config.fleet)
            keys = UnitKeys(FleetKeys(config.fleet.name))
            rows = store.range(keys.root, prefix_end(keys.root))
            action(world, config, store, keys, keys.read({row.key: row for row in rows.rows}))
        except OutcomeUnknown as error:
            raise CliError(
                f"the answer was lost ({error}): check `release status` before repeating the command"
            ) from None
        except (StoreError, OSError) as error:
            raise CliError(f"{file}: fleet.store: {', '.join(config.fleet.store)}: {error}") from None

    world.run("release", run)


def _load_plan(file: str, view: ReleaseView, limits: tuple[Limit, ...], now_us: int) -> r.Release:
    """Read a plan file and create its release. Raises CliError with one line that lists all faults."""
    try:
        with open(file, "rb") as source:
            plan = decode_toml(file, source.read(), r.PlanFile)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CliError(str(error)) from None
    wanted = list(plan.units) or [unit for unit, place in view.placements.items() if place.kind == plan.kind]
    if not wanted:
        raise CliError(f"{file}: units: the fleet has no {plan.kind}")
    denials = p.permanent_denials(view.placements.values(), limits, wanted)
    if denials:
        raise CliError(f"{file}: units: {'; '.join(denials)}")
    return r.create_release(f"{plan.version}-{now_us // 1_000_000}", plan, view.placements)


@click.group("release")
def release_group() -> None:
    """Rolling releases across the fleet."""


@release_group.command("plan")
@CONFIG
@click.argument("plan", type=click.Path(dir_okay=False))
def plan_command(config: str, plan: str) -> None:
    """Show the waves of a plan without starting it."""

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
        release = _load_plan(plan, view, loaded.release.limit, world.now_us())
        for number, wave in enumerate(release.waves, 1):
            click.echo(f"wave {number}: {', '.join(wave)}")

    _with_store(config, show)


@release_group.command("start")
@CONFIG
@click.argument("plan", type=click.Path(dir_okay=False))
@BY
@WHY
def start_command(config: str, plan: str, by: str, why: str) -> None:
    """Start a release; only one can run at a time."""

    def start(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
        # "going back": the rollback is in progress
        if view.release is not None and view.release.phase in ("running", "halted", "going back"):
            raise CliError(f"release {view.release.id} is {view.release.phase}: abandon it or let it end first")
        now = world.now_us()
        release = _load_plan(plan, view, loaded.release.limit, now)
        if not store.txn(
            keys.update_release_by_operator(view, release, AuditEntry(now, by, f"release {release.id}: start", why))
        ).succeeded:
            raise CliError("the release was changed by another command: check `release status`")
        click.echo(release.id)

    _with_store(config, start)


def _operator_command(verb: str) -> click.Command:
    @click.command(verb)
    @CONFIG
    @BY
    @WHY
    def command(config: str, by: str, why: str) -> None:
        def apply_command(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
            if view.release is None:
                raise CliError("there is no release")
            updated = r.apply_operator_command(view.release, verb, why)
            if isinstance(updated, str):
                raise CliError(updated)
            entry = AuditEntry(world.now_us(), by, f"release {updated.id}: {verb}", why)
            if not store.txn(keys.update_release_by_operator(view, updated, entry)).succeeded:
                raise CliError("the release has advanced in the meantime: check `release status`")
            click.echo(f"{updated.id}: {updated.phase}")

        _with_store(config, apply_command)

    command.help = {
        "halt": "Stop granting permits.",
        "resume": "Continue after a halt; the canary analysis (comparison of the versions' failures) starts anew.",
        "back": "Roll back to the previous version, newest wave first.",
        "abandon": "End the release as it is; units that are being restarted return to service by themselves.",
    }[verb]
    return command


for verb in ("halt", "resume", "back", "abandon"):
    release_group.add_command(_operator_command(verb))


@release_group.command("status")
@CONFIG
@click.option("--json", "as_json", is_flag=True)
def status_command(config: str, as_json: bool) -> None:
    """Show the release, the units and exceeded limits.

    A unit's line: name, standing, version, why it is unavailable, why its last order failed.
    """

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
        fleet = view.snapshot(loaded.release.limit, 0)
        release, unavailable, violations = view.release, p.unavailable_units(fleet), p.violated_limits(fleet)
        if as_json:
            click.echo(
                msgspec.json.encode(
                    {"release": release, "out": unavailable, "exceeded": violations, "units": view.statuses}
                ).decode()
            )
            return
        if release is not None:
            click.echo(f"{release.id}: {release.phase}, wave {release.wave + 1} of {len(release.waves)} {release.why}")
        for unit, status in sorted(view.statuses.items()):
            click.echo(
                f"{unit}  {status.standing}  {status.version}  {unavailable.get(unit, '')} {status.refused}".rstrip()
            )
        for unit in sorted(set(unavailable) - set(view.statuses)):
            click.echo(f"{unit}  {unavailable[unit]}")
        for line in violations:
            click.echo(f"exceeded: {line}")

    _with_store(config, show)


@release_group.command("log")
@CONFIG
def log_command(config: str) -> None:
    """Show the audit log: time (Unix seconds), operator, action, reason."""

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
        for _, entry in sorted(view.audit_log.items()):
            click.echo(f"{entry.at_us / 1e6:.3f}  {entry.by}  {entry.what}  {entry.why}".rstrip())

    _with_store(config, show)


def _request_drains(config: str, names: tuple[str, ...], drain_request: DrainRequest) -> None:
    def send(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, view: ReleaseView) -> None:
        unknown = [name for name in names if name not in view.placements]
        if unknown:
            raise CliError(f"there is no such unit: {', '.join(unknown)}")
        fleet = view.snapshot(loaded.release.limit, 0)
        for name in names:
            denial = p.check_departure(fleet, name) if drain_request.do == "drain" else None
            store.txn(
                keys.request_drain(
                    name,
                    drain_request,
                    AuditEntry(world.now_us(), drain_request.by, f"{drain_request.do} {name}", drain_request.why),
                )
            )
            click.echo(
                f"{name}: {drain_request.do} requested"
                + (f"; not possible now: {denial.reason}" if denial is not None else "")
            )

    _with_store(config, send)


@click.command("drain")
@CONFIG
@click.argument("units", nargs=-1, required=True)
@BY
@WHY
def drain_command(config: str, units: tuple[str, ...], by: str, why: str) -> None:
    """Request that units are drained as soon as the limits allow."""
    _request_drains(config, units, DrainRequest("drain", by, why))


@click.command("undrain")
@CONFIG
@click.argument("units", nargs=-1, required=True)
@BY
@WHY
def undrain_command(config: str, units: tuple[str, ...], by: str, why: str) -> None:
    """Return drained units to service, or withdraw a drain request."""
    _request_drains(config, units, DrainRequest("undrain", by, why))
