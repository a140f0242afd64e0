"""`yardspindle release ...`, `drain`, `undrain`: what operators say of releases and units, kept with name and time."""

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
BY = click.option("--by", required=True, help="Who says so; kept in the audit trail.")
WHY = click.option("--why", default="", help="Why; kept in the audit trail.")


def _with_store(file: str, act: Callable[[RealWorld, Config, Store, UnitKeys, ReleaseView], None]) -> None:
    config = load_config(file)
    if not config.fleet.store:
        raise CliError(f"{file}: fleet.store: missing")
    world = RealWorld()

    def run() -> None:
        try:
            store = open_store(world, config.fleet)
            keys = UnitKeys(FleetKeys(config.fleet.name))
            rows = store.range(keys.root, prefix_end(keys.root))
            act(world, config, store, keys, keys.read({row.key: row for row in rows.rows}))
        except OutcomeUnknown as error:
            raise CliError(f"the answer was lost ({error}): look at `release status` before you say it again") from None
        except (StoreError, OSError) as error:
            raise CliError(f"{file}: fleet.store: {', '.join(config.fleet.store)}: {error}") from None

    world.run("release", run)


def _plan(file: str, units: ReleaseView, limits: tuple[Limit, ...], now_us: int) -> r.Release:
    """A plan's file as a release. Raises Failure with one line for all that is wrong with it."""
    try:
        with open(file, "rb") as source:
            plan = decode_toml(file, source.read(), r.PlanFile)
    except OSError as error:
        raise CliError(f"{file}: {error.strerror}") from None
    except ConfigError as error:
        raise CliError(str(error)) from None
    wanted = list(plan.units) or [unit for unit, place in units.placements.items() if place.kind == plan.kind]
    if not wanted:
        raise CliError(f"{file}: units: the fleet has no {plan.kind}")
    wrong = p.permanent_denials(units.placements.values(), limits, wanted)
    if wrong:
        raise CliError(f"{file}: units: {'; '.join(wrong)}")
    return r.create_release(f"{plan.version}-{now_us // 1_000_000}", plan, units.placements)


@click.group("release")
def release_group() -> None:
    """Rolling releases, agreed across the fleet."""


@release_group.command("plan")
@CONFIG
@click.argument("plan", type=click.Path(dir_okay=False))
def plan_command(config: str, plan: str) -> None:
    """Show the waves of a plan; nothing moves."""

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
        release = _plan(plan, units, loaded.release.limit, world.now_us())
        for number, wave in enumerate(release.waves, 1):
            click.echo(f"wave {number}: {', '.join(wave)}")

    _with_store(config, show)


@release_group.command("start")
@CONFIG
@click.argument("plan", type=click.Path(dir_okay=False))
@BY
@WHY
def start_command(config: str, plan: str, by: str, why: str) -> None:
    """Begin a release; one at a time."""

    def begin(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
        if units.release is not None and units.release.phase in ("running", "halted", "going back"):
            raise CliError(f"release {units.release.id} is {units.release.phase}: abandon it or let it end first")
        now = world.now_us()
        release = _plan(plan, units, loaded.release.limit, now)
        if not store.txn(
            keys.update_release_by_operator(units, release, AuditEntry(now, by, f"release {release.id}: start", why))
        ).succeeded:
            raise CliError("somebody else has said something meanwhile: look at `release status`")
        click.echo(release.id)

    _with_store(config, begin)


def _word(word: str) -> click.Command:
    @click.command(word)
    @CONFIG
    @BY
    @WHY
    def command(config: str, by: str, why: str) -> None:
        def say(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
            if units.release is None:
                raise CliError("there is no release")
            told = r.apply_operator_command(units.release, word, why)
            if isinstance(told, str):
                raise CliError(told)
            entry = AuditEntry(world.now_us(), by, f"release {told.id}: {word}", why)
            if not store.txn(keys.update_release_by_operator(units, told, entry)).succeeded:
                raise CliError("the release has moved meanwhile: look at `release status`")
            click.echo(f"{told.id}: {told.phase}")

        _with_store(config, say)

    command.help = {
        "halt": "Give no more permits.",
        "resume": "Go on after a halt; the comparison begins anew.",
        "back": "Go back to the version before, newest wave first.",
        "abandon": "End it where it is; what is out comes back by itself.",
    }[word]
    return command


for one in ("halt", "resume", "back", "abandon"):
    release_group.add_command(_word(one))


@release_group.command("status")
@CONFIG
@click.option("--json", "as_json", is_flag=True)
def status_command(config: str, as_json: bool) -> None:
    """The release, who is out and why, and limits that are exceeded."""

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
        fleet = units.snapshot(loaded.release.limit, 0)
        release, gone, broken = units.release, p.unavailable_units(fleet), p.violated_limits(fleet)
        if as_json:
            click.echo(
                msgspec.json.encode(
                    {"release": release, "out": gone, "exceeded": broken, "units": units.statuses}
                ).decode()
            )
            return
        if release is not None:
            click.echo(f"{release.id}: {release.phase}, wave {release.wave + 1} of {len(release.waves)} {release.why}")
        for unit, status in sorted(units.statuses.items()):
            click.echo(f"{unit}  {status.standing}  {status.version}  {gone.get(unit, '')} {status.refused}".rstrip())
        for unit in sorted(set(gone) - set(units.statuses)):
            click.echo(f"{unit}  {gone[unit]}")
        for line in broken:
            click.echo(f"exceeded: {line}")

    _with_store(config, show)


@release_group.command("log")
@CONFIG
def log_command(config: str) -> None:
    """The audit trail: time (Unix seconds), who, what, why."""

    def show(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
        for _, entry in sorted(units.audit_log.items()):
            click.echo(f"{entry.at_us / 1e6:.3f}  {entry.by}  {entry.what}  {entry.why}".rstrip())

    _with_store(config, show)


def _wish(config: str, names: tuple[str, ...], wish: DrainRequest) -> None:
    def say(world: RealWorld, loaded: Config, store: Store, keys: UnitKeys, units: ReleaseView) -> None:
        unknown = [name for name in names if name not in units.placements]
        if unknown:
            raise CliError(f"there is no such unit: {', '.join(unknown)}")
        fleet = units.snapshot(loaded.release.limit, 0)
        for name in names:
            no = p.check_departure(fleet, name) if wish.do == "drain" else None
            store.txn(
                keys.request_drain(name, wish, AuditEntry(world.now_us(), wish.by, f"{wish.do} {name}", wish.why))
            )
            click.echo(f"{name}: {wish.do} asked for" + (f"; not now: {no.reason}" if no is not None else ""))

    _with_store(config, say)


@click.command("drain")
@CONFIG
@click.argument("units", nargs=-1, required=True)
@BY
@WHY
def drain_command(config: str, units: tuple[str, ...], by: str, why: str) -> None:
    """Ask for units to be drained, as soon as limits allow."""
    _wish(config, units, DrainRequest("drain", by, why))


@click.command("undrain")
@CONFIG
@click.argument("units", nargs=-1, required=True)
@BY
@WHY
def undrain_command(config: str, units: tuple[str, ...], by: str, why: str) -> None:
    """Let drained units back in, or take a wish to drain back."""
    _wish(config, units, DrainRequest("undrain", by, why))
