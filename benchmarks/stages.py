"""A table of one day from the dispatchers' logs: ends, kept prompt tokens, spread, places, moves, time by stage.

    python benchmarks/stages.py FOLDER

FOLDER holds one `*.log` a dispatcher. The best possible share of kept tokens is that of one cache without end which
all requests that were read pass in the order of their arrival.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

FIELD = re.compile(r"(\w+)=(\S*)")
STAGES = ("wait", "read", "hold", "move", "write")
Row = dict[str, str]


def rows(lines: Iterable[str]) -> list[Row]:
    """The lines of requests that are over."""
    return [dict(FIELD.findall(line)) for line in lines if " request id=" in f" {line}" and " ms=" in line]


def quantile(values: list[float], part: float) -> float:
    """The value under which a part of them lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def best_kept(requests: list[Row]) -> float:
    """Prompt tokens that one cache without end would have kept."""
    sessions: dict[str, float] = {}
    prefixes: set[str] = set()
    kept = 0.0
    for row in sorted(requests, key=lambda r: float(r["came"])):
        name, _, length = row["prefix"].rpartition(":")
        prompt = float(row["prompt"])
        kept += min(max(sessions.get(row["session"], 0.0), float(length) if name in prefixes else 0.0), prompt)
        sessions[row["session"]] = prompt
        if name != "-":
            prefixes.add(name)
    return kept


def spread(counts: Counter[str]) -> str:
    """How unevenly hosts were used: how many, and the most of any against their mean."""
    mean = counts.total() / max(len(counts), 1)
    return f"{len(counts)} hosts, the fullest {max(counts.values(), default=0) / max(mean, 1e-9):.1f} times their mean"


def table(requests: list[Row]) -> list[str]:
    """The table's lines."""
    out = [f"requests {len(requests)}"]
    for cls in sorted({row["cls"] for row in requests}):
        ends = Counter(row["end"] for row in requests if row["cls"] == cls)
        out.append(f"  {cls}: " + ", ".join(f"{end} {n}" for end, n in ends.most_common()))
    read = [row for row in requests if "read:" in row["ms"]]
    prompts = sum(float(row["prompt"]) for row in read)
    kept = sum(min(float(row["kept"]), float(row["prompt"])) for row in read)
    out.append(f"kept {kept / max(prompts, 1):.3f} of the prompt tokens read, best possible "
               f"{best_kept(read) / max(prompts, 1):.3f}; new tokens a read {(prompts - kept) / max(len(read), 1):.0f}"
               f" of {prompts / max(len(read), 1):.0f}")
    tries = [[int(part) for part in row["tries"].split(",")] for row in requests]
    reads, writes, asked, refused = (sum(column) for column in zip(*tries, strict=True)) if tries else (0, 0, 0, 0)
    out.append(f"reads {reads}, writes {writes}, places asked {asked}, refused {refused}")
    at = [[place.split("/") for place in row["at"].split(",")] for row in requests]
    pairs = [(r, w) for r, w in at if len(r) == 3 and len(w) == 3]
    out.append(f"moved to another cell {sum(r[2] != w[2] for r, w in pairs)}, to another zone "
               f"{sum(r[1] != w[1] for r, w in pairs)}, of {len(pairs)}")
    out.append("readers: " + spread(Counter(r[0] for r, _ in at if len(r) == 3)))
    out.append("writers: " + spread(Counter(w[0] for _, w in at if len(w) == 3)))
    times: dict[str, list[float]] = defaultdict(list)
    for row in requests:
        for part in filter(None, row["ms"].split(",")):
            name, _, value = part.partition(":")
            times[name].append(float(value))
    out.append("ms p50/p99: " + ", ".join(
        f"{name} {quantile(times[name], 0.5):.0f}/{quantile(times[name], 0.99):.0f}" for name in STAGES))
    return out


def main(folder: str) -> None:
    """Print the table of a folder of logs."""
    lines = [line for path in sorted(Path(folder).glob("*.log")) for line in path.read_text().splitlines()]
    print("\n".join(table(rows(lines))))


if __name__ == "__main__":
    main(sys.argv[1])
