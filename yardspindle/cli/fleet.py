"""`yardspindle fleet members` and `fleet duties`: print the fleet's members and duties from the store.

Members are the registered processes; a duty is a background task of the fleet with one owner at a time; the store is
the key-value store that the processes share.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click
import msgspec

from yardspindle.cli.common import CliError, load_config
from yardspindle.core.fleet.kv import prefix_end
from yardspindle.core.fleet.members import FleetKeys, Member, Owner, decode_row
from yardspindle.fleet.store.factory import open_store
from yardspindle.fleet.store.interface import Store, StoreError
from yardspindle.runtime.real import RealWorld

WATCH_INTERVAL_US = 1_000_000  # between two reads with --watch

Row = dict[str, Any]


@click.group("fleet")
def fleet_group() -> None:
    """Members and duties of a fleet, read from its store."""


def _print_rows(
    file: str, as_json: bool, watch: bool, columns: tuple[str, ...], rows_of: Callable[[Store, FleetKeys], list[Row]]
) -> None:
    config = load_config(file)
    if not config.fleet.store:
        raise CliError(f"{file}: fleet.store: missing")
    world = RealWorld()

    def show() -> None:
        if watch:
            world.stop_on_signals()
        try:
            store = open_store(world, config.fleet)
            while True:
                rows = rows_of(store, FleetKeys(config.fleet.name))
                if as_json:
                    click.echo(msgspec.json.encode(rows).decode())
                else:
                    click.echo(_table(columns, rows))
                if not watch or world.stop.is_set:
                    return
                world.sleep_until(world.now_us() + WATCH_INTERVAL_US)
        except (StoreError, OSError) as error:
            raise CliError(f"{file}: fleet.store: {', '.join(config.fleet.store)}: {error}") from None

    world.run("fleet", show)


def _table(columns: tuple[str, ...], rows: list[Row]) -> str:
    lines = [columns, *(tuple(str(row[name]) for name in columns) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip() for line in lines
    )


def _remaining_ttl_s(store: Store, lease: int) -> float | None:
    ttl_us = store.remaining_ttl_us(lease) if lease else -1
    return round(ttl_us / 1e6, 1) if ttl_us >= 0 else None


def _members(store: Store, keys: FleetKeys) -> list[Row]:
    rows = []
    for row in store.range(keys.members, prefix_end(keys.members)).rows:
        member = decode_row(row.value, Member)
        if member is not None:
            rows.append(
                {
                    "kind": member.kind,
                    "name": member.name,
                    "epoch": member.epoch,
                    "zone": member.zone,
                    "page": member.page,
                    "version": member.version,
                    "able": member.able,
                    "left_s": _remaining_ttl_s(store, row.lease),
                }
            )
    return rows


def _duties(store: Store, keys: FleetKeys) -> list[Row]:
    rows = []
    for row in store.range(keys.duties, prefix_end(keys.duties)).rows:
        owner = decode_row(row.value, Owner)
        rows.append(
            {
                "duty": row.key[len(keys.duties) :].decode(),
                "owner": owner.name if owner else "?",
                "epoch": owner.epoch if owner else "?",
                "fence": row.create,
                "since_us": owner.since_us if owner else 0,
                "left_s": _remaining_ttl_s(store, row.lease),
            }
        )
    return rows


@fleet_group.command("members")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one list per read.")
@click.option("--watch", is_flag=True, help="Repeat every second.")
def members_command(file: str, as_json: bool, watch: bool) -> None:
    """List registered members.

    epoch: one run of the process; page: address of its HTTP status page; able: whether a steward can take duties now;
    left_s: seconds until the registration ends unless it is renewed.
    """
    _print_rows(file, as_json, watch, ("kind", "name", "epoch", "zone", "page", "version", "able", "left_s"), _members)


@fleet_group.command("duties")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one list per read.")
@click.option("--watch", is_flag=True, help="Repeat every second.")
def duties_command(file: str, as_json: bool, watch: bool) -> None:
    """List duties: owner, fence, start by the owner's clock, and seconds until the lease ends (left_s)."""
    _print_rows(file, as_json, watch, ("duty", "owner", "epoch", "fence", "since_us", "left_s"), _duties)
