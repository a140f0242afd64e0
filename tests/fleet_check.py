"""Checks the journals of the store and the engines against the fleet's rules, sharing no code with the fleet.

An order is a steward's call to an engine that lists or releases holds; it carries the fence of the duty for which the
steward acts.

Rules:
- an engine never obeys a lower fence of a duty after a higher one, also across its own restarts;
- nothing is released for an edge that is alive;
- a duty's key is never taken over from its owner, nor removed by another steward;
- writes on behalf of a duty are made by its current owner;
- an order carries a fence that the store has assigned to that duty;
- a steward that has seen the store's revision go back acquires no duty from it.
"""

from __future__ import annotations

import base64
import json
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Read a journal; a last line cut short by a kill is skipped."""
    rows = []
    for line in path.read_text().splitlines() if path.exists() else []:
        try:
            rows.append(json.loads(line))
        except json.JSONDecodeError:
            continue
    return rows


def decode_text(data: str) -> str:
    return base64.b64decode(data).decode()


def check(folder: Path, engines: Iterable[str], fleet: str = "main") -> list[str]:
    """Return the rule violations found in a run's journals."""
    store = StoreHistory(f"/yardspindle/{fleet}/")
    for row in read_journal(folder / "store.jsonl"):
        store.apply(row)
    found = store.violations
    for engine in engines:
        found += check_fence_order(engine, read_journal(folder / f"{engine}.jsonl"), store)
    return found + check_releases(folder, engines, store)


class StoreHistory:
    """The history of the store from its journal: fences by duty and registrations by epoch, with their times."""

    def __init__(self, root: str) -> None:
        self.root = root
        self.keys: dict[str, tuple[str, int, int]] = {}  # value, create, lease
        self.fences: dict[str, dict[int, tuple[int, int | None]]] = defaultdict(dict)  # duty, fence: from, to
        self.registered: dict[str, list[tuple[int, int | None]]] = defaultdict(list)  # epoch: from, to
        self.owners: set[str] = set()  # epochs that acquired a duty
        self.saw_rollback: set[str] = set()  # owners that saw the store's revision go back
        self.violations: list[str] = []

    def apply(self, row: dict[str, Any]) -> None:
        now = row["t"]
        match row["ev"]:
            case "expired":
                self._end_leases(list(row["leases"]), now)
            case "control" if row["do"] == "expire":
                self._end_leases([lease for _, _, lease in self.keys.values() if lease], now)
            case "control" if row["do"] == "restore":
                self.keys.clear()  # an older revision, whose keys the journal does not show
                self.saw_rollback = set(self.owners)
            case "call" if row["path"] == "/v3/lease/revoke":
                self._end_leases([int(row["call"]["ID"])], now)
            case "call" if row["path"] == "/v3/kv/txn":
                self._apply_txn(row["call"], row["answer"], now)

    def _end_leases(self, leases: list[int], now: int) -> None:
        for key in [key for key, (_, _, lease) in self.keys.items() if lease in leases]:
            self._remove(key, now)

    def _remove(self, key: str, now: int) -> None:
        value, create, _ = self.keys.pop(key)
        if key.startswith(self.root + "duties/"):
            duty = key[len(self.root + "duties/") :]
            self.fences[duty][create] = (self.fences[duty][create][0], now)
        if key.startswith(self.root + "members/edge/"):
            rows = self.registered[json.loads(value)["epoch"]]
            rows[-1] = (rows[-1][0], now)

    def _apply_txn(self, call: dict[str, Any], answer: dict[str, Any], now: int) -> None:
        ops = call.get("success", []) if answer.get("succeeded") else call.get("failure", [])
        revision = int(answer["header"]["revision"])
        compared_keys = [
            decode_text(c["key"])
            for c in call.get("compare", [])
            if c.get("target") == "CREATE" and int(c.get("create_revision") or 0)
        ]
        for op in ops:
            if put := op.get("request_put"):
                self._apply_put(
                    decode_text(put["key"]),
                    decode_text(put.get("value", "")),
                    int(put.get("lease", 0)),
                    revision,
                    now,
                    compared_keys,
                )
            elif delete := op.get("request_delete_range"):
                key = decode_text(delete["key"])
                if key.startswith(self.root + "duties/") and key in self.keys and key not in compared_keys:
                    self.violations.append(f"{key}: removed by somebody who did not compare its create revision")
                if key.startswith(self.root + "epochs/"):
                    self._check_fenced_write(key, compared_keys)
                if key in self.keys:
                    self._remove(key, now)

    def _apply_put(self, key: str, value: str, lease: int, revision: int, now: int, compared_keys: list[str]) -> None:
        old = self.keys.get(key)
        if key.startswith(self.root + "duties/"):
            duty = key[len(self.root + "duties/") :]
            if old is not None and old[0] != value:
                self.violations.append(f"duty {duty}: taken over while {old[0]} holds it")
            if old is None:
                self.fences[duty][revision] = (now, None)
            epoch = json.loads(value)["epoch"]
            self.owners.add(epoch)
            if epoch in self.saw_rollback:
                self.violations.append(
                    f"duty {duty}: acquired from a store that went back, by an owner that had seen it"
                )
        if key == self.root + "clocks":
            self._check_fenced_write(key, compared_keys)
        if key.startswith(self.root + "members/edge/"):
            rows = self.registered[json.loads(value)["epoch"]]
            if old is None or not rows or rows[-1][1] is not None:
                rows.append((now, None))
        self.keys[key] = (value, old[1] if old else revision, lease)

    def _check_fenced_write(self, key: str, compared_keys: list[str]) -> None:
        if not any(name.startswith(self.root + "duties/") and name in self.keys for name in compared_keys):
            self.violations.append(f"{key}: written on behalf of a duty that the writer did not prove to hold")


def check_fence_order(engine: str, rows: list[dict[str, Any]], store: StoreHistory) -> list[str]:
    """Check the fences of the orders that one engine obeyed."""
    found: list[str] = []
    highest: dict[str, int] = defaultdict(int)
    for row in rows:
        if row["ev"] != "order":
            continue
        duty, fence = row["duty"], row["fence"]
        if row["admitted"] and fence < highest[duty]:
            found.append(f"{engine}: fence {fence} of {duty} obeyed after {highest[duty]}")
        if row["admitted"] and fence not in store.fences[duty]:
            found.append(f"{engine}: fence {fence} of {duty} was never given by the store")
        if row["admitted"]:
            highest[duty] = max(highest[duty], fence)
    return found


def check_releases(folder: Path, engines: Iterable[str], store: StoreHistory) -> list[str]:
    """Check that nothing is released for a live edge: one that is registered or sends an engine a request later."""
    found, last_seen, orders = [], dict[str, int](), []
    for engine in engines:
        for row in read_journal(folder / f"{engine}.jsonl"):
            epoch = row["id"].partition("-")[0]
            if row["ev"] == "arrive":
                last_seen[epoch] = max(last_seen.get(epoch, 0), row["t"])
            # "holds", the end of its path, is the id of an order that lists holds; "" names no hold.
            elif row["ev"] == "order" and row["admitted"] and row["id"] not in ("", "holds"):
                orders.append((epoch, row["t"], engine, row["id"]))
    for epoch, at, engine, hold in orders:
        if any(start <= at and (end is None or at < end) for start, end in store.registered[epoch]):
            found.append(f"{engine}: {hold} released while its edge is registered")
        if last_seen.get(epoch, 0) > at:
            found.append(f"{engine}: {hold} released while its edge still sends")
    return found
