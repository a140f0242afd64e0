"""Table of one day from the dispatchers' logs: outcomes, cached prompt tokens, spread, places, cells, time by stage.

    python benchmarks/stages.py FOLDER [COLD_S [WINDOW_S]]

FOLDER holds one `*.log` per dispatcher. With COLD_S, the time for which a host is cold, it also counts the attempts
that all dispatchers sent to hosts started less than COLD_S ago, in any window of WINDOW_S (default 2); places and
releases do not count. The best possible share of cached tokens is that of one infinite cache, empty at first, which all
requests that were read pass in order of arrival.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

FIELD = re.compile(r"(\w+)=(\S*)")
# As in the log (node/trace.py); `hold`: from the read's answer to the write, while the reader keeps the prompt's state.
STAGES = ("wait", "prefill", "hold", "transfer", "decode")
Row = dict[str, str]


def rows(lines: Iterable[str]) -> list[Row]:
    """Parse the lines of finished requests."""
    return [dict(FIELD.findall(line)) for line in lines if " request id=" in f" {line}" and " ms=" in line]


def quantile(values: list[float], part: float) -> float:
    """Return the quantile of the values, 0 for none."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def best_possible_kept(requests: list[Row]) -> float:
    """Return the prompt tokens that one infinite cache would have served."""
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
    """Describe how evenly hosts were used: their number and the largest count over the mean."""
    mean = counts.total() / max(len(counts), 1)
    return f"{len(counts)} hosts, the fullest {max(counts.values(), default=0) / max(mean, 1e-9):.1f} times their mean"


def table(requests: list[Row]) -> list[str]:
    """Return the lines of the table.

    "places asked": places requested at writers. "moved": requests whose read and write were in different cells or
    zones. "the fullest": the host with the most requests, compared with the mean of all hosts used.
    """
    out = [f"requests {len(requests)}"]
    for cls in sorted({row["cls"] for row in requests}):
        ends = Counter(row["end"] for row in requests if row["cls"] == cls)
        out.append(f"  {cls}: " + ", ".join(f"{end} {n}" for end, n in ends.most_common()))
    read = [row for row in requests if "prefill:" in row["ms"]]
    prompts = sum(float(row["prompt"]) for row in read)
    kept = sum(min(float(row["kept"]), float(row["prompt"])) for row in read)
    out.append(
        f"kept {kept / max(prompts, 1):.3f} of the prompt tokens read, best possible "
        f"{best_possible_kept(read) / max(prompts, 1):.3f}; "
        f"new tokens a read {(prompts - kept) / max(len(read), 1):.0f} of {prompts / max(len(read), 1):.0f}"
    )
    tries = [[int(part) for part in row["tries"].split(",")] for row in requests]
    reads, writes, asked, refused = (sum(column) for column in zip(*tries, strict=True)) if tries else (0, 0, 0, 0)
    out.append(f"reads {reads}, writes {writes}, places asked {asked}, refused {refused}")
    at = [[place.split("/") for place in row["at"].split(",")] for row in requests]
    pairs = [(r, w) for r, w in at if len(r) == 3 and len(w) == 3]
    out.append(
        f"moved to another cell {sum(r[2] != w[2] for r, w in pairs)}, to another zone "
        f"{sum(r[1] != w[1] for r, w in pairs)}, of {len(pairs)}"
    )
    out.append("readers: " + spread(Counter(r[0] for r, _ in at if len(r) == 3)))
    out.append("writers: " + spread(Counter(w[0] for _, w in at if len(w) == 3)))
    times: dict[str, list[float]] = defaultdict(list)
    for row in requests:
        for part in filter(None, row["ms"].split(",")):
            name, _, value = part.partition(":")
            times[name].append(float(value))
    out.append(
        "ms p50/p99: "
        + ", ".join(f"{name} {quantile(times[name], 0.5):.0f}/{quantile(times[name], 0.99):.0f}" for name in STAGES)
    )
    return out


def send_times(requests: list[Row]) -> dict[str, list[float]]:
    """Return the times by host at which requests' last attempts were written, in milliseconds of Unix time."""
    times: dict[str, list[float]] = defaultdict(list)
    for row in requests:
        stages = dict(part.split(":") for part in row["ms"].split(",") if part)
        at = float(row["came"])
        for place, names in zip(row["at"].split(","), (("wait",), ("prefill", "hold")), strict=True):
            at += sum(float(stages.get(name, 0.0)) for name in names)
            if place != "-":
                times[place.split("/")[0]].append(at)
    return times


def failed_attempts(lines: Iterable[str], requests: list[Row]) -> Iterator[tuple[str, float]]:
    """Yield host and approximate time, in milliseconds of Unix time, of failed attempts.

    Their log lines have only the time of the end, in seconds of the logger's clock. It is converted to Unix time with
    the median offset at the lines of finished requests.
    """
    ends = {
        row["id"]: float(row["came"]) + sum(float(p.split(":")[1]) for p in row["ms"].split(",") if p)
        for row in requests
    }
    offsets = []
    failed = []
    for line in lines:
        clock, _, rest = line.partition(" ")
        row = dict(FIELD.findall(rest))
        if rest.startswith("request id=") and row["id"] in ends:
            offsets.append(ends[row["id"]] - float(clock) * 1_000)
        elif rest.startswith("attempt failed "):
            failed.append((row["at"], float(clock) * 1_000))
    offset = quantile(offsets, 0.5)
    yield from ((host, at + offset) for host, at in failed)


def cold(lines: list[str], cold_ms: float, window_ms: float) -> list[str]:
    """Return a line on cold hosts by kind: how many started, and the most attempts to one in a window while cold."""
    requests = rows(lines)
    times = send_times(requests)
    for host, at in failed_attempts(lines, requests):
        times[host].append(at)
    starts = {
        (row["id"], row["kind"], float(row["up"]))
        for row in (dict(FIELD.findall(line)) for line in lines if "host started id=" in line)
    }
    max_sent: dict[str, list[int]] = defaultdict(list)
    for host, kind, up in starts:
        while_cold = sorted(at for at in times[host] if up <= at < up + cold_ms)
        max_sent[kind].append(
            max((sum(at <= other < at + window_ms for other in while_cold) for at in while_cold), default=0)
        )
    return [
        f"cold {kind}: {len(counts)} started, sent in {window_ms / 1_000:g} s at most {max(counts)}, "
        f"median {quantile([float(n) for n in counts], 0.5):.0f}"
        for kind, counts in sorted(max_sent.items())
    ]


def main(folder: str, cold_s: str = "0", window_s: str = "2") -> None:
    """Print the table for a folder of logs."""
    lines = [line for path in sorted(Path(folder).glob("*.log")) for line in path.read_text().splitlines()]
    print("\n".join([*table(rows(lines)), *cold(lines, float(cold_s) * 1_000, float(window_s) * 1_000)]))


if __name__ == "__main__":
    main(*sys.argv[1:])
