"""The reader of KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_failures import read_known_failures

ROW = "tests/test_a.py::test_{} | pytest tests/test_a.py, seed 3 | 11 places held | issue 54"


def test_any_number_of_entries_is_read(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("\n".join(ROW.format(number) for number in range(5)) + "\n\n")
    entries = read_known_failures(path)
    assert [entry.test for entry in entries] == [f"tests/test_a.py::test_{number}" for number in range(5)]
    assert (entries[0].command, entries[0].seen, entries[0].issue) == (
        "pytest tests/test_a.py, seed 3",
        "11 places held",
        "issue 54",
    )
    assert entries[1].matches("tests/test_a.py::test_1[x]") and not entries[1].matches("tests/test_a.py::test_12")


def test_without_a_file_nothing_is_listed(tmp_path: Path) -> None:
    assert read_known_failures(tmp_path / "KNOWN-RED.txt") == []


@pytest.mark.parametrize(
    ("row", "reason"),
    [
        ("tests/test_a.py::test_a | held | issue 54", "3 fields, not 4"),
        (ROW.replace("pytest tests/test_a.py, seed 3", " "), "command and seed: empty"),
    ],
)
def test_a_malformed_entry_is_named_by_its_line(tmp_path: Path, row: str, reason: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{ROW}\n{row}\n")
    with pytest.raises(ValueError, match=f"^KNOWN-RED.txt:2: {reason}"):
        read_known_failures(path)
