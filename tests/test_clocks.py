"""Detection of members with skewed clocks, from the times that their status pages returned."""

from __future__ import annotations

from yardspindle.core.fleet.clock_skew import estimate_offset, find_skewed_clocks

MS = 1_000
EPOCHS = {name: f"epoch of {name}" for name in "abcde"}


def clock_sample(offset_us: int, took_us: int = 2 * MS) -> tuple[int, int, int]:
    """Returns the arguments of `estimate_offset` for a clock that is off by `offset_us`, read in `took_us`."""
    return 0, offset_us + took_us // 2, took_us


def test_one_that_is_off_is_out_and_the_others_are_not() -> None:
    skew = find_skewed_clocks(
        {
            name: estimate_offset(*clock_sample(offset))
            for name, offset in zip("abcde", (0, 3 * MS, -3 * MS, MS, 60_000 * MS), strict=True)
        },
        EPOCHS,
        5_000 * MS,
    )
    assert skew.out == ("epoch of e",) and abs(skew.offsets["e"] - 60_000 * MS) < 5 * MS


def test_the_asker_itself_is_out_when_all_others_agree() -> None:
    skew = find_skewed_clocks(
        {"a": estimate_offset(0, 0, 0)} | {name: estimate_offset(*clock_sample(-60_000 * MS)) for name in "bcd"},
        EPOCHS,
        5_000 * MS,
    )
    assert skew.out == ("epoch of a",)


def test_a_slow_answer_proves_nothing() -> None:
    skew = find_skewed_clocks(
        {
            "a": estimate_offset(0, 0, 0),
            "b": estimate_offset(*clock_sample(0)),
            "c": estimate_offset(0, 8_000 * MS, 20_000 * MS),
        },
        EPOCHS,
        5_000 * MS,
    )
    assert skew.out == ()


def test_nobody_answers() -> None:
    assert find_skewed_clocks({}, {}, MS).out == ()
