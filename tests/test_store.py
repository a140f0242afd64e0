"""One contract for every store: the model, the etcd gateway's client against the stand-in, and the file."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.ports import port_of, reserve_port
from yardspindle.core.fleet.kv import (
    BadRequest,
    Changes,
    Compacted,
    Compare,
    Delete,
    Get,
    Op,
    Put,
    RangeResult,
    Txn,
    TxnResult,
    prefix_end,
)
from yardspindle.core.fleet.kv_model import StoreModel
from yardspindle.fleet.store.embedded import EmbeddedStore
from yardspindle.fleet.store.etcd import EtcdStore
from yardspindle.fleet.store.interface import KeepAliveResult, LeaseGrant, NotApplied, OutcomeUnknown, Store
from yardspindle.lab.etcd import EtcdStandIn
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.world import World

S = 1_000_000
CALL_LIMIT_US = 30 * S  # a busy machine may give the test no processor time for seconds


class ModelStore:
    """The model behind the store interface, for these tests only."""

    def __init__(self, world: World) -> None:
        self.world, self.model = world, StoreModel()

    def _live(self) -> StoreModel:
        self.model.expire(self.world.uptime_us())
        return self.model

    def range(self, key: bytes, end: bytes = b"", revision: int = 0) -> RangeResult:
        return self._live().range(key, end, revision)

    def txn(self, txn: Txn) -> TxnResult:
        try:
            return self._live().txn(txn)
        except BadRequest as error:
            raise NotApplied(f"{error.code}: {error}") from None

    def grant(self, ttl_us: int) -> LeaseGrant:
        lease = self._live().grant(self.world.uptime_us(), -(-ttl_us // S))
        return LeaseGrant(lease, self.model.leases[lease].ttl_us)

    def keep_alive(self, lease: int) -> KeepAliveResult:
        return KeepAliveResult(self._live().keep_alive(self.world.uptime_us(), lease) * S, self.model.revision)

    def revoke(self, lease: int) -> None:
        if lease in self._live().leases:
            self.model.revoke(lease)

    def remaining_ttl_us(self, lease: int) -> int:
        left = self._live().remaining_ttl_s(self.world.uptime_us(), lease)
        return left * S if left > 0 else left

    def watch(self, key: bytes, end: bytes, revision: int) -> ModelWatch:
        return ModelWatch(self, key, end, revision)

    def compact(self, revision: int) -> None:
        self.model.compact(revision)


class ModelWatch:
    """A watch on the model, which polls for changes."""

    def __init__(self, store: ModelStore, key: bytes, end: bytes, revision: int) -> None:
        self.store, self.key, self.end, self.at = store, key, end, revision

    def next(self) -> Changes:
        while True:
            changes = self.store._live().changes_since(self.key, self.end, self.at)
            if changes.revision >= self.at:
                self.at = changes.revision + 1
                return changes
            self.store.world.sleep_until(self.store.world.now_us() + 2_000)

    def close(self) -> None:
        pass


KINDS = ("model", "gateway", "file")


@pytest.fixture(params=KINDS)
def kind(request: pytest.FixtureRequest) -> Iterator[str]:
    yield request.param


def create_store(world: RealWorld, kind: str, path: Path) -> Store:
    if kind == "model":
        return ModelStore(world)
    if kind == "file":
        return EmbeddedStore(world, str(path / "store.db"), CALL_LIMIT_US)
    stand_in = EtcdStandIn(world)
    store = EtcdStore(world, [stand_in.start("127.0.0.1", 0)], CALL_LIMIT_US)
    store._http.connect_us = CALL_LIMIT_US  # a connect, too, may be given no processor time for long
    return store


def run(kind: str, path: Path, test: Callable[[RealWorld, Store], None]) -> None:
    world = RealWorld(seed=1)
    world.run("test", lambda: test(world, create_store(world, kind, path)))


def put(key: bytes, value: bytes, lease: int = 0) -> Txn:
    return Txn(then=(Put(key, value, lease),))


def test_revisions_versions_and_reads_of_the_past(kind: str, tmp_path: Path) -> None:
    def test(world: RealWorld, store: Store) -> None:
        first = store.txn(put(b"a", b"1")).revision
        second = store.txn(put(b"a", b"2")).revision
        assert second == first + 1
        assert store.txn(Txn(then=(Get(b"a"),))).revision == second, "a transaction that only reads creates no revision"
        row = store.range(b"a").rows[0]
        assert (row.value, row.create, row.mod, row.version) == (b"2", first, second, 2)
        store.txn(Txn(then=(Delete(b"a"),)))
        again = store.txn(put(b"a", b"3")).revision
        row = store.range(b"a").rows[0]
        assert (row.create, row.version) == (again, 1), "a re-created key has a new fence"
        assert [r.value for r in store.range(b"a", revision=first).rows] == [b"1"]
        assert store.range(b"a", revision=second + 1).rows == ()
        with pytest.raises((NotApplied, Exception), match="future"):
            store.range(b"a", revision=again + 10)

    run(kind, tmp_path, test)


def test_a_transaction_takes_one_branch_and_sees_its_own_writes(kind: str, tmp_path: Path) -> None:
    def test(world: RealWorld, store: Store) -> None:
        free = Txn(
            (Compare(b"d/1", "create", "equal", 0),),
            (Put(b"d/1", b"me"), Get(b"d/", prefix_end(b"d/"))),
            (Get(b"d/1"),),
        )
        acquired = store.txn(free)
        assert acquired.succeeded and [row.value for row in acquired.results[1]] == [b"me"]
        late = store.txn(free)
        assert (
            not late.succeeded and late.results[0][0].create == acquired.revision and late.revision == acquired.revision
        )
        fence = late.results[0][0].create
        assert store.txn(Txn((Compare(b"d/1", "create", "equal", fence),), (Put(b"d/2", b"x"),))).succeeded
        assert not store.txn(Txn((Compare(b"d/1", "create", "equal", fence - 1),), (Put(b"d/3", b"x"),))).succeeded
        assert [row.key for row in store.range(b"d/", prefix_end(b"d/")).rows] == [b"d/1", b"d/2"]
        with pytest.raises(NotApplied, match="duplicate key"):
            store.txn(Txn(then=(Put(b"d/2", b"y"), Put(b"d/2", b"z"))))
        assert store.range(b"d/2").rows[0].value == b"x", "a refused transaction has no effect"

    run(kind, tmp_path, test)


def test_a_lease_ends_with_its_keys_unless_kept_alive(kind: str, tmp_path: Path) -> None:
    def test(world: RealWorld, store: Store) -> None:
        one, longer = store.grant(S), store.grant(3 * S)
        assert one.lease != longer.lease and one.ttl_us == S
        store.txn(put(b"m/one", b"", one.lease))
        since = store.txn(put(b"m/other", b"", longer.lease)).revision
        assert store.keep_alive(one.lease).ttl_us == S
        watch = store.watch(b"m/", prefix_end(b"m/"), since + 1)
        removed: list[bytes] = []
        with world.deadline(world.now_us() + 5 * S):
            while not removed:
                removed += [c.row.key for c in watch.next().changes if c.removed]
        watch.close()
        assert removed == [b"m/one"]
        assert store.keep_alive(one.lease).ttl_us == 0 and store.remaining_ttl_us(one.lease) == -1
        assert 0 < store.remaining_ttl_us(longer.lease) <= 3 * S
        store.revoke(longer.lease)
        store.revoke(longer.lease)
        assert store.range(b"m/", prefix_end(b"m/")).rows == ()
        with pytest.raises(NotApplied, match="lease not found"):
            store.txn(put(b"m/x", b"", longer.lease))

    run(kind, tmp_path, test)


def test_a_watch_leaves_nothing_out_and_says_when_history_is_gone(kind: str, tmp_path: Path) -> None:
    def test(world: RealWorld, store: Store) -> None:
        first = store.txn(put(b"w/1", b"a")).revision
        store.txn(put(b"elsewhere", b""))
        store.txn(Txn(then=(Put(b"w/2", b"b"), Delete(b"w/1"))))
        seen: list[tuple[bytes, bool]] = []
        watch = store.watch(b"w/", prefix_end(b"w/"), first)
        with world.deadline(world.now_us() + 5 * S):
            while len(seen) < 3:
                seen += [(c.row.key, c.removed) for c in watch.next().changes]
            assert sorted(seen) == [(b"w/1", False), (b"w/1", True), (b"w/2", False)] and seen[0] == (b"w/1", False)
            last = store.txn(put(b"w/3", b"c")).revision
            while (b"w/3", False) not in seen:
                seen += [(c.row.key, c.removed) for c in watch.next().changes]
        watch.close()
        if isinstance(store, EtcdStore):
            store._request(b"/v3/kv/compaction", b'{"revision":"%d"}' % last, dict, is_write=True)
        else:
            store.compact(last)  # type: ignore[attr-defined]
        with pytest.raises(Compacted), world.deadline(world.now_us() + 5 * S):
            old = store.watch(b"w/", prefix_end(b"w/"), first)
            while not old.next().changes:  # a first empty answer confirms the watch
                pass
        with pytest.raises(Compacted):
            store.range(b"w/1", revision=first)
        assert len(store.range(b"w/", prefix_end(b"w/")).rows) == 2

    run(kind, tmp_path, test)


KEYS = st.sampled_from([b"a", b"b", b"c", b"\xff", b"a\x00"])
OPS: st.SearchStrategy[Op] = st.one_of(
    st.builds(Put, KEYS, st.binary(max_size=3)),
    st.builds(Delete, KEYS, st.sampled_from([b"", b"c", b"\0"])),
    st.builds(Get, KEYS, st.sampled_from([b"", b"c", b"\0"])),
)
COMPARES = st.one_of(
    st.builds(
        Compare,
        KEYS,
        st.sampled_from(["version", "create", "mod", "lease"]),
        st.sampled_from(["equal", "greater", "less", "not_equal"]),
        st.integers(0, 12),
    ),
    st.builds(Compare, KEYS, st.just("value"), st.sampled_from(["equal", "not_equal"]), st.binary(max_size=3)),
)
TXNS = st.builds(
    lambda c, t, o: Txn(tuple(c), tuple(t), tuple(o)),
    st.lists(COMPARES, max_size=2),
    st.lists(OPS, max_size=3),
    st.lists(OPS, max_size=3),
)


@given(st.lists(TXNS, max_size=12))
def test_all_three_answer_drawn_transactions_alike(drawn: list[Txn]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        world = RealWorld(seed=1)

        def outcome(store: Store, txn: Txn) -> Any:
            try:
                return store.txn(txn)
            except NotApplied as error:
                return str(error)

        def test() -> None:
            stores = [create_store(world, kind, Path(folder)) for kind in KINDS]
            for txn in drawn:
                answers = [outcome(store, txn) for store in stores]
                assert answers[0] == answers[1] == answers[2]
            views = [store.range(b"\0", b"\0") for store in stores]
            assert views[0] == views[1] == views[2]
            for revision in range(1, views[0].revision + 1):
                past = [store.range(b"\0", b"\0", revision).rows for store in stores]
                assert past[0] == past[1] == past[2]

        world.run("test", test)


# --- failures of the gateway's client


def with_stand_in(test: Callable[[RealWorld, EtcdStandIn, EtcdStore], None], endpoints: int = 1) -> None:
    world = RealWorld(seed=1)

    def program() -> None:
        stand_in = EtcdStandIn(world)
        endpoint = stand_in.start("127.0.0.1", 0)
        with reserve_port() as dead:
            test(world, stand_in, EtcdStore(world, [("127.0.0.1", port_of(dead)), endpoint][-endpoints:], 200_000))

    world.run("test", program)


def test_an_answer_lost_after_the_commit_is_unknown_and_can_be_read_back() -> None:
    def test(world: RealWorld, stand_in: EtcdStandIn, store: EtcdStore) -> None:
        stand_in.responses_to_lose = 1
        with pytest.raises(OutcomeUnknown):
            store.txn(put(b"a", b"mine"))
        assert store.range(b"a").rows[0].value == b"mine"

    with_stand_in(test)
