"""What passed at the store and at the engines, checked from their journals alone; knows none of the code it checks.

Rules: an engine never obeys a lower fence of a duty after a higher one, over its own restarts too; nothing is let go of
for an edge that lives; a duty's key is never taken from an owner who has it, nor removed by another; what is written
on behalf of a duty is written by who holds it then; an order carries a fence that the store once gave to that duty; who
has seen a store go back takes no duty from it.
"""

from __future__ import annotations

import base64
import json
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

MARGIN_US = 1_000_000  # between an edge's last sign of life and an order that lets go of what it held


def read(path: Path) -> list[dict[str, Any]]:
    """A journal; a last line that a kill cut off is passed over."""
    rows = []
    for line in path.read_text().splitlines() if path.exists() else []:
        try:
            rows.append(json.loads(line))
        except json.JSONDecodeError:
            continue
    return rows


def text(data: str) -> str:
    return base64.b64decode(data).decode()


def check(folder: Path, engines: Iterable[str], fleet: str = "main") -> list[str]:
    """What was broken; nothing when all held."""
    store = Store(f"/yardspindle/{fleet}/")
    for row in read(folder / "store.jsonl"):
        store.take(row)
    found = store.broken
    for engine in engines:
        found += obeyed(engine, read(folder / f"{engine}.jsonl"), store)
    return found + released(folder, engines, store)


class Store:
    """The store's own account: which fence had a duty when, and who was registered when."""

    def __init__(self, root: str) -> None:
        self.root = root
        self.keys: dict[str, tuple[str, int, int]] = {}  # value, create, lease
        self.fences: dict[str, dict[int, tuple[int, int | None]]] = defaultdict(dict)  # duty, fence: from, to
        self.registered: dict[str, list[tuple[int, int | None]]] = defaultdict(list)  # epoch: from, to
        self.owners: set[str] = set()  # epochs that took a duty
        self.fooled: set[str] = set()  # those of them that saw the store go back
        self.broken: list[str] = []

    def take(self, row: dict[str, Any]) -> None:
        now = row["t"]
        match row["ev"]:
            case "expired":
                self._end(list(row["leases"]), now)
            case "control" if row["do"] == "expire":
                self._end([lease for _, _, lease in self.keys.values() if lease], now)
            case "control" if row["do"] == "restore":
                self.keys.clear()  # an older revision: what it holds is not in the journal any more
                self.fooled = set(self.owners)
            case "call" if row["path"] == "/v3/lease/revoke":
                self._end([int(row["call"]["ID"])], now)
            case "call" if row["path"] == "/v3/kv/txn":
                self._txn(row["call"], row["answer"], now)

    def _end(self, leases: list[int], now: int) -> None:
        for key in [key for key, (_, _, lease) in self.keys.items() if lease in leases]:
            self._gone(key, now)

    def _gone(self, key: str, now: int) -> None:
        value, create, _ = self.keys.pop(key)
        if key.startswith(self.root + "duties/"):
            duty = key[len(self.root + "duties/") :]
            self.fences[duty][create] = (self.fences[duty][create][0], now)
        if key.startswith(self.root + "members/edge/"):
            rows = self.registered[json.loads(value)["epoch"]]
            rows[-1] = (rows[-1][0], now)

    def _txn(self, call: dict[str, Any], answer: dict[str, Any], now: int) -> None:
        ops = call.get("success", []) if answer.get("succeeded") else call.get("failure", [])
        revision = int(answer["header"]["revision"])
        under = [
            text(c["key"])
            for c in call.get("compare", [])
            if c.get("target") == "CREATE" and int(c.get("create_revision") or 0)
        ]
        for op in ops:
            if put := op.get("request_put"):
                self._put(text(put["key"]), text(put.get("value", "")), int(put.get("lease", 0)), revision, now, under)
            elif delete := op.get("request_delete_range"):
                key = text(delete["key"])
                if key.startswith(self.root + "duties/") and key in self.keys and key not in under:
                    self.broken.append(f"{key}: removed by somebody who did not say that he holds it")
                if key.startswith(self.root + "epochs/"):
                    self._on_behalf(key, under)
                if key in self.keys:
                    self._gone(key, now)

    def _put(self, key: str, value: str, lease: int, revision: int, now: int, under: list[str]) -> None:
        old = self.keys.get(key)
        if key.startswith(self.root + "duties/"):
            duty = key[len(self.root + "duties/") :]
            if old is not None and old[0] != value:
                self.broken.append(f"duty {duty}: taken over while {old[0]} holds it")
            if old is None:
                self.fences[duty][revision] = (now, None)
            epoch = json.loads(value)["epoch"]
            self.owners.add(epoch)
            if epoch in self.fooled:
                self.broken.append(f"duty {duty}: taken from a store that went back by one who knew it")
        if key == self.root + "clocks":
            self._on_behalf(key, under)
        if key.startswith(self.root + "members/edge/"):
            rows = self.registered[json.loads(value)["epoch"]]
            if old is None or not rows or rows[-1][1] is not None:
                rows.append((now, None))
        self.keys[key] = (value, old[1] if old else revision, lease)

    def _on_behalf(self, key: str, under: list[str]) -> None:
        if not any(name.startswith(self.root + "duties/") and name in self.keys for name in under):
            self.broken.append(f"{key}: written on behalf of a duty that the writer did not prove to hold")


def obeyed(engine: str, rows: list[dict[str, Any]], store: Store) -> list[str]:
    """Fences in the order in which one engine obeyed them."""
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


def released(folder: Path, engines: Iterable[str], store: Store) -> list[str]:
    """Nothing is let go of for an edge that lives: one that is registered, or asks an engine for something later."""
    found, seen, orders = [], dict[str, int](), []
    for engine in engines:
        for row in read(folder / f"{engine}.jsonl"):
            epoch = row["id"].partition("-")[0]
            if row["ev"] == "arrive":
                seen[epoch] = max(seen.get(epoch, 0), row["t"])
            elif row["ev"] == "order" and row["admitted"] and row["id"] not in ("", "holds"):
                orders.append((epoch, row["t"], engine, row["id"]))
    for epoch, at, engine, hold in orders:
        if any(start <= at and (end is None or at < end) for start, end in store.registered[epoch]):
            found.append(f"{engine}: {hold} let go of while its edge is registered")
        if seen.get(epoch, 0) > at:
            found.append(f"{engine}: {hold} let go of while its edge still sends")
    return found
