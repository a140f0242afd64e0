"""How evenly a day's capacity was shared, on small hand-written logs; expected figures were computed by hand."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import ModuleType

import click
import pytest

from tests.test_stages import load_benchmark

# Columns: dispatcher, class, tenant, session, prompt tokens, arrival in ms, end, attempts (reads, writes).
DAY_LOG = """\
n0 chat  a s1 1000    0 served        1,1
n0 chat  a s1 1100  100 overloaded    0,0
n1 chat  a s1 1100  200 served        1,1
n0 chat  a s2  900  300 served        1,1
n0 chat  a s2  950  400 overloaded    1,0
n1 chat  a s2  950  500 draining      1,0
n0 chat  b s3  800  600 overloaded    0,0
n1 chat  b s4  500 1000 served        1,1
n1 order b o1 5000 1200 gave_up       0,0
n0 order b o2  400 1300 served        1,1
n0 order b o3  300 1400 served        1,1
n1 chat  b s5  400 1500 served        1,1
n1 chat  b s6  300 1600 left          1,0
n0 chat  a s7  200 2000 stream_broken 1,1
n1 chat  a s7  200 2100 moved         1,1
n1 order b o4  200 2500 left          0,0
n0 order b o5  100 2600 gave_up       1,1
n0 chat  a s8  100 3000 served        1,1
n1 chat  a s8  100 3400 overloaded    0,0
"""
# Rows without a bound: name, requests, share.
UNBOUNDED_ROWS = [
    ("all", 15, 8 / 15),
    ("class chat", 10, 6 / 10),
    ("class order", 5, 2 / 5),
    ("tenant a", 6, 4 / 6),
    ("tenant b", 9, 4 / 9),
    ("third 1 of the day", 5, 3 / 5),
    ("third 2 of the day", 6, 4 / 6),
    ("third 3 of the day", 4, 1 / 4),
]
# Chance of a refused session: 2 of chat's 10 requests were refused, 2 of its 8 sessions had two turns; order: 1 of 5.
QUIET_ROWS = [
    ("chat: longest quarter of prompts", 2, 1.0, 0.4, 0.6),
    ("chat: next fifth of prompts", 2, 0.5, 0.4, 0.1),
    ("chat: refused sessions, chance 0.160", 8, 0.125, 0.28, 0.155),
    ("order: longest quarter of prompts", 1, 0.0, 0.8 / 3, -0.8 / 3),
    ("order: next fifth of prompts", 1, 1.0, 0.8 / 3, 2.2 / 3),
    ("order: refused sessions, chance 0.200", 5, 0.2, 0.32, 0.12),
    ("dispatchers turning all away, most 0.0 s", 2, 0.0, 0.1, 0.1),
]
OTHER_ROWS = [
    ("chat: longest quarter of prompts", 2, 1.0, 0.3, 0.7),
    ("chat: next fifth of prompts", 2, 0.5, 0.3, 0.2),
    ("chat: refused sessions, chance 0.160", 8, 0.125, None, None),
    ("order: longest quarter of prompts", 1, 0.0, 0.2, -0.2),
    ("order: next fifth of prompts", 1, 1.0, 0.2, 0.8),
    ("order: refused sessions, chance 0.200", 5, 0.2, None, None),
    ("dispatchers turning all away, most 0.0 s", 2, 0.0, None, None),
]


@pytest.fixture
def fairness() -> ModuleType:
    return load_benchmark("fairness")


def line(
    ident: object, cls: str, tenant: str, session: str, prompt: object, came: object, end: str, tries: str, ms: str = ""
) -> str:
    at = ",".join("-" if n == "0" else f"{role}1/a/1" for role, n in zip("rw", tries.split(","), strict=True))
    return (
        f"9.000 request id={ident} cls={cls} tenant={tenant} end={end} prompt={prompt} prefix=-:0 "
        f"session={session} kept=0 tries={tries},0,0 at={at} came={came} ms={ms}"
    )


def logs(day: str = DAY_LOG) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for ident, (name, *fields) in enumerate(map(str.split, day.splitlines())):
        found.setdefault(name, ["0.2 ready name=x"]).append(line(ident, *fields))
    return found


def table(
    fairness: ModuleType,
    *,
    effects: dict[str, str] | None = None,
    quiet: bool = False,
    roll: bool = False,
    day: str = DAY_LOG,
) -> list[tuple[object, ...]]:
    found = fairness.figures([fairness.rows(lines) for lines in logs(day).values()], effects or {}, quiet, roll)
    return [(f.name, f.count, f.share, f.bound, f.margin) for f in found]


def rows_match(found: list[tuple[object, ...]], wanted: list[tuple[object, ...]]) -> bool:
    flat = [part if isinstance(part, str | None) else pytest.approx(part) for row in wanted for part in row]
    return [part for row in found for part in row] == flat


@pytest.mark.parametrize(("quiet", "bound"), [(True, QUIET_ROWS), (False, OTHER_ROWS)])
def test_the_rows_of_a_day(fairness: ModuleType, quiet: bool, bound: list[tuple[object, ...]]) -> None:
    assert rows_match(table(fairness, quiet=quiet), [(*row, None, None) for row in UNBOUNDED_ROWS] + bound)


def test_effects_are_told_from_outside(fairness: ModuleType) -> None:
    found = table(fairness, effects={"chat": "safe", "order": "keyed"})
    assert rows_match(found[5:7], [("effect keyed", 5, 2 / 5, None, None), ("effect safe", 10, 6 / 10, None, None)])
    found = table(fairness, effects={"chat": "safe", "order": "safe"})
    assert rows_match(found[5:6], [("effect safe", 15, 8 / 15, None, None)])


def test_requests_of_no_session_are_not_taken_for_repeats(fairness: ModuleType) -> None:
    found = table(fairness, day="n0 chat a None 50 0 served 1,1\nn0 chat a None 50 10 overloaded 0,0\n")
    assert found[0][:3] == ("all", 2, 0.5) and table(fairness, day="") == []


@pytest.mark.parametrize(("count", "name", "sizes"), [(399, "quarter", (99, 79)), (400, "tenth", (40, 80))])
def test_a_small_class_has_a_quarter_of_long_prompts(
    fairness: ModuleType, count: int, name: str, sizes: tuple[int, int]
) -> None:
    requests = [fairness.Request("chat", "a", f"s{n}", float(n), float(n), True, False) for n in range(count)]
    groups = fairness.prompt_groups(requests)
    assert list(groups) == [f"longest {name} of prompts", "next fifth of prompts"]
    longest, following = groups.values()
    assert (len(longest), len(following)) == sizes
    assert min(r.prompt for r in longest) == max(r.prompt for r in following) + 1 == count - sizes[0]


def refusal_lines(count: int, span_ms: int) -> list[str]:
    return [
        line(n, "chat", "a", f"s{n}", 100, 1000 + n * span_ms // (count - 1), "overloaded", "0,0") for n in range(count)
    ]


EARLIER_REQUEST = line(
    "x", "chat", "a", "x", 100, 500, "served", "1,1", "wait:{},prefill:{},hold:0,transfer:5,decode:9"
)
REFUSAL_CASES: dict[str, tuple[Callable[[], list[str]], float]] = {
    "fifteen in four seconds": (lambda: refusal_lines(15, 4000), 4000.0),
    "one too few": (lambda: refusal_lines(14, 4000), 0.0),
    "too short": (lambda: refusal_lines(15, 3999), 3999.0),
    "a longer one, and as sparse": (lambda: refusal_lines(15, 9000), 9000.0),
    "a request that was sent on, refused or not": (
        lambda: [*refusal_lines(15, 4000), line("x", "chat", "a", "x", 100, 1100, "overloaded", "1,0")],
        0.0,
    ),
    "a request within that was sent on, the last time later": (
        lambda: [*refusal_lines(15, 4000), line("x", "chat", "a", "x", 100, 1100, "overloaded", "2,0", "wait:9000")],
        0.0,
    ),
    "an earlier request's read within": (lambda: [*refusal_lines(15, 4000), EARLIER_REQUEST.format(600, 5000)], 0.0),
    "an earlier request's write within": (lambda: [*refusal_lines(15, 4000), EARLIER_REQUEST.format(10, 600)], 0.0),
    "an earlier request that was done": (lambda: [*refusal_lines(15, 4000), EARLIER_REQUEST.format(10, 20)], 4000.0),
    "a client that left unserved": (
        lambda: [*refusal_lines(15, 4000), line("x", "chat", "a", "x", 100, 1100, "left", "0,0")],
        4000.0,
    ),
    "failures that were never sent on": (
        lambda: [row.replace("overloaded", "gave_up") for row in refusal_lines(15, 4000)],
        4000.0,
    ),
}


@pytest.mark.parametrize("case", REFUSAL_CASES)
def test_how_long_a_dispatcher_turned_all_away(fairness: ModuleType, case: str) -> None:
    lines, longest = REFUSAL_CASES[case]
    assert fairness.longest_ms(fairness.rows(lines())) == longest


def test_one_dispatcher_in_ten_may_turn_all_away(fairness: ModuleType) -> None:
    bad, good = fairness.rows(refusal_lines(15, 4000)), fairness.rows(refusal_lines(15, 3999))
    for bad_count, of, quiet, roll, margin in (
        (1, 10, True, False, 0.0),
        (1, 10, False, True, 0.0),
        (1, 10, False, False, None),
        (2, 10, False, True, -0.1),
        (1, 6, True, False, 0.1 - 1 / 6),
    ):
        row = fairness.figures([bad] * bad_count + [good] * (of - bad_count), {}, quiet, roll)[-1]
        assert (row.name, row.count) == ("dispatchers turning all away, most 4.0 s", of)
        assert row.share == bad_count / of and row.margin == (None if margin is None else pytest.approx(margin))


def test_the_command(fairness: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def run(*args: str) -> list[str]:
        fairness.main([*args, str(tmp_path)], standalone_mode=False)
        return capsys.readouterr().out.splitlines()

    with pytest.raises(click.UsageError, match=r"no \*\.log"):
        run()
    for name, lines in logs().items():
        (tmp_path / f"{name}.log").write_text("\n".join(lines) + "\n")
    out = run("--quiet", "--effects", "chat=safe,order=keyed")
    assert out[1].split() == ["all", "15", "0.533", "-", "-"]
    assert "chat: next fifth of prompts 2 0.500 >= 0.400 +0.100" in [" ".join(row.split()) for row in out]
    assert "order: refused sessions, chance 0.200 5 0.200 <= 0.320 +0.120" in [" ".join(row.split()) for row in out]
    assert out[-2].startswith("no bound: ") and out[-1] == "least margin -0.267: order: longest quarter of prompts"
    assert run()[-1] == "least margin -0.200: order: longest quarter of prompts"
    with pytest.raises(click.UsageError, match="no effect is given for order"):
        run("--effects", "chat=safe")


def test_a_bound_of_which_nothing_is_used_hides_no_margin(fairness: ModuleType) -> None:
    unused = fairness.Figure("unused", 5, 0.0, 0.1, at_most=True)
    assert fairness.least([unused, fairness.Figure("floor", 5, 0.9, 0.5)]) == "least margin +0.400: floor"
    assert fairness.least([unused]) == "least margin +0.100: unused"
    assert fairness.least([fairness.Figure("all", 5, 0.9)]) == "least margin: none is known"
