"""Fairness of one day, from the dispatchers' logs: answered shares, lower bounds and the smallest margin.

    python benchmarks/fairness.py [--quiet | --roll] [--effects CLASS=EFFECT,...] FOLDER

A day is one scripted test run of a deployment. Its kind (--quiet, --roll or, without a flag, ordinary) decides which
bounds apply. FOLDER holds one `*.log` per dispatcher for one day. A row has the number of requests, the answered share,
its bound and the margin.

The bounds are those of the operators' acceptance test, which compares the deployment with a reference policy: that
policy serves the same clients, and sees the true state of all hosts with a delay.

Counting: a client's retry has a new id and no mark in the log, so lines with the same class, tenant, session and prompt
length, at any dispatcher, are one request. It arrives with the first line, is answered if any line was served to its
end, in time or late, and is refused if every line was (a failure that was never sent to a host counts as a refusal). A
request whose client disconnected is not answered; the comparison stays fair, because the reference policy meets the
same clients. Nor is a stream that broke and was never served again. The row on dispatchers counts log lines, not
requests.

Bounds: those of classes, tenants, effects and thirds of the day are fractions of what the reference policy serves,
which the logs do not show, so these rows have no margin. Prompts: the longest tenth of a class (under 400 requests the
longest quarter) and the next fifth are answered at least half as often as their class, two thirds on a quiet day; the
acceptance test uses a lower bound where the reference policy does worse. Sessions, on a quiet day: the share of a
class's sessions that are refused throughout exceeds chance by at most 0.12; chance is the mean over the sessions of the
class's refused share to the power of their turns. Dispatchers, on quiet and roll days: at most one in ten refuses all,
15 or more requests, for 4 s from the first to the last with no attempt in between. The log has only the time of the
last attempt of each stage, so a stretch may appear longer than it was.

Not checked, because the logs lack them: the values of requests, tenant shares and requests open at a killed process.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent))

from stages import Row, rows, send_times

REFUSALS = {"overloaded", "draining", "edge_full", "planner_lost"}
# Least answered share of long prompts, relative to that of all requests of the class.
MIN_LONG_PROMPT_RATIO, MIN_LONG_PROMPT_RATIO_QUIET = 1 / 2, 2 / 3
SESSIONS_OVER_CHANCE = 0.12
STRETCH_MS, STRETCH_REQUESTS, STRETCH_DISPATCHERS = 4_000.0, 15, 0.1


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, with all its retries."""

    cls: str
    tenant: str
    session: str
    prompt: float
    arrived_ms: float
    answered: bool
    refused: bool


@dataclass(frozen=True, slots=True)
class Figure:
    """One row: a share of requests, sessions or dispatchers, with its bound if it has one."""

    name: str
    count: int
    share: float
    bound: float | None = None
    at_most: bool = False

    @property
    def margin(self) -> float | None:
        """Distance to the bound, negative if it is violated."""
        if self.bound is None:
            return None
        return self.bound - self.share if self.at_most else self.share - self.bound

    def __str__(self) -> str:
        bound = "-" if self.bound is None else f"{'<=' if self.at_most else '>='} {self.bound:.3f}"
        margin = "-" if self.margin is None else f"{self.margin:+.3f}"
        return f"{self.name:<46}{self.count:>7}{self.share:>8.3f}{bound:>10}{margin:>9}"


def never_sent(row: Row) -> bool:
    """Whether no attempt was made for the request."""
    reads, writes, _, _ = row["tries"].split(",")
    return reads == writes == "0"


def refused(row: Row) -> bool:
    """Whether the request was refused; a failure without any attempt counts as a refusal.

    The end `left` says that the client disconnected.
    """
    return row["end"] in REFUSALS or (row["end"] != "left" and never_sent(row))


def requests(lines: Iterable[Row]) -> list[Request]:
    """Group log lines into requests, ordered by first arrival."""
    copies_by_key: dict[tuple[str, ...], list[Row]] = defaultdict(list)
    for row in lines:
        alone = row["id"] if row["session"] in ("", "-", "None") else ""  # without a session each line is a request
        copies_by_key[row["cls"], row["tenant"], row["session"], row["prompt"], alone].append(row)
    found = [
        Request(
            cls,
            tenant,
            session + alone,
            float(prompt),
            min(float(row["came"]) for row in copies),
            any(row["end"] == "served" for row in copies),
            all(refused(row) for row in copies),
        )
        for (cls, tenant, session, prompt, alone), copies in copies_by_key.items()
    ]
    return sorted(found, key=lambda r: (r.arrived_ms, r.session, r.prompt))


def answered(some: list[Request]) -> float:
    """Return the answered share, 1 for no requests."""
    return sum(r.answered for r in some) / len(some) if some else 1.0


def prompt_groups(some: list[Request]) -> dict[str, list[Request]]:
    """Return the requests of a class with the longest and the next longest prompts, by row name."""
    ordered = sorted(some, key=lambda r: -r.prompt)
    name, part = ("quarter", 4) if len(some) < 400 else ("tenth", 10)
    end = max(len(some) // part, 1)
    groups = {f"longest {name} of prompts": ordered[:end], "next fifth of prompts": ordered[end : end + len(some) // 5]}
    return {name: group for name, group in groups.items() if group}


def refused_sessions(name: str, some: list[Request], quiet: bool) -> Figure:
    """Return the row for the share of a class's sessions that were refused throughout."""
    sessions: dict[str, list[bool]] = defaultdict(list)
    for request in some:
        sessions[request.session].append(request.refused)
    part = sum(r.refused for r in some) / len(some)
    chance = sum(part ** len(turns) for turns in sessions.values()) / len(sessions)
    share = sum(all(turns) for turns in sessions.values()) / len(sessions)
    return Figure(
        f"{name}, chance {chance:.3f}",
        len(sessions),
        share,
        chance + SESSIONS_OVER_CHANCE if quiet else None,
        at_most=True,
    )


def longest_ms(lines: list[Row]) -> float:
    """Return the longest time, in ms, in which a dispatcher refused STRETCH_REQUESTS or more requests and served none.

    Clients that disconnected before any attempt are ignored.
    """
    turned_away = [(float(row["came"]), True) for row in lines if refused(row) and never_sent(row)]
    others = [(float(row["came"]), False) for row in lines if not never_sent(row)]
    attempts = [(at, False) for times in send_times(lines).values() for at in times]
    stretch: list[float] = []
    longest = 0.0
    for at, is_turned_away in sorted(turned_away + others + attempts):
        stretch = [*stretch, at] if is_turned_away else []
        if len(stretch) >= STRETCH_REQUESTS:
            longest = max(longest, at - stretch[0])
    return longest


def figures(dispatchers: list[list[Row]], effects: dict[str, str], quiet: bool, roll: bool) -> list[Figure]:
    """Compute all rows of a day from the log lines of each dispatcher.

    `effects`: by class, whether a request that may have run may be run again: safe (always), keyed (with the same key)
    or unsafe. Without it there are no rows by effect.
    """
    everything = requests(row for lines in dispatchers for row in lines)
    if not everything:
        return []
    start, span = everything[0].arrived_ms, max(everything[-1].arrived_ms - everything[0].arrived_ms, 1.0)
    groups: dict[str, list[Request]] = defaultdict(list)
    for r in everything:
        groups[f"0 class {r.cls}"].append(r)
        groups[f"1 tenant {r.tenant}"].append(r)
        if effects:
            groups[f"2 effect {effects[r.cls]}"].append(r)
        groups[f"3 third {min(int(3 * (r.arrived_ms - start) / span), 2) + 1} of the day"].append(r)
    out = [Figure("all", len(everything), answered(everything))]
    out += [Figure(name[2:], len(some), answered(some)) for name, some in sorted(groups.items())]
    for cls in sorted({r.cls for r in everything}):
        some = groups[f"0 class {cls}"]
        floor = (MIN_LONG_PROMPT_RATIO_QUIET if quiet else MIN_LONG_PROMPT_RATIO) * answered(some)
        out += [
            Figure(f"{cls}: {name}", len(group), answered(group), floor) for name, group in prompt_groups(some).items()
        ]
        out.append(refused_sessions(f"{cls}: refused sessions", some, quiet))
    stretches = [longest_ms(lines) for lines in dispatchers]
    # The dispatchers that refused all requests for STRETCH_MS or longer; "most" is the longest such time of any one.
    out.append(
        Figure(
            f"dispatchers turning all away, most {max(stretches) / 1_000:.1f} s",
            len(dispatchers),
            sum(ms >= STRETCH_MS for ms in stretches) / len(dispatchers),
            STRETCH_DISPATCHERS if quiet or roll else None,
            at_most=True,
        )
    )
    return out


def least(day: list[Figure]) -> str:
    """Return the last line: the smallest margin.

    Upper bounds on a share of zero are considered last, because their margins would hide the others.
    """
    known = [(f.at_most and not f.share, f.margin, f.name) for f in day if f.margin is not None]
    return f"least margin {min(known)[1]:+.3f}: {min(known)[2]}" if known else "least margin: none is known"


@click.command()
@click.option("--quiet", is_flag=True, help="A quiet day: all bounds apply, with two thirds for long prompts.")
@click.option("--roll", is_flag=True, help="A roll day: the bound on dispatchers applies.")
@click.option(
    "--effects",
    default="",
    help="CLASS=EFFECT,... for all classes (safe, keyed or unsafe to repeat), as in the day's settings.",
)
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(folder: Path, quiet: bool, roll: bool, effects: str) -> None:
    """Print a day's rows and the smallest margin."""
    dispatchers = [rows(path.read_text().splitlines()) for path in sorted(folder.glob("*.log"))]
    by_class = dict(part.split("=", 1) for part in effects.split(",") if "=" in part)
    unknown = sorted({row["cls"] for lines in dispatchers for row in lines} - by_class.keys()) if effects else []
    if unknown or not dispatchers:
        raise click.UsageError(f"no effect is given for {', '.join(unknown)}" if unknown else f"no *.log in {folder}")
    day = figures(dispatchers, by_class, quiet, roll)
    click.echo(f"{'':<46}{'count':>7}{'share':>8}{'bound':>10}{'margin':>9}")
    click.echo(
        "\n".join(
            [
                *map(str, day),
                "no bound: a day of this kind has none, or it depends on what the reference policy serves, which the "
                "logs do not show",
                least(day),
            ]
        )
    )


if __name__ == "__main__":
    main()
