"""How evenly one day's room was shared, from the dispatchers' logs: answered shares, floors, and the least margin.

    python benchmarks/fairness.py [--quiet | --roll] [--effects CLASS=EFFECT,...] FOLDER

FOLDER holds one `*.log` a dispatcher; of a panel each day has a folder of its own, named after it. A row has requests,
the share of them that was answered, the floor and the margin over it. Without --quiet or --roll the day is any other.

What is counted. A client's repeat has a new id and no mark in the log: lines of one class, tenant, session and prompt
length, at whichever dispatcher, are one request, which came with the first of them and is answered if any of them was
served to its end, in time or late. One whose client left is not answered: the policy that it is compared with meets
the same clients. It is refused if each of its lines was (a failure that was never sent on counts as a refusal). Streams
that were broken off and never served again are not answered. A dispatcher's stretches count lines, not requests.

What is known. Floors of whole classes, tenants, effects and thirds of the day are parts of what a policy serves that
sees the true state late, which no log tells: they have no margin here. Prompts: the longest tenth of a class (under 400
requests: the quarter) and the next fifth are answered at least half as often as their class, two thirds on a quiet day;
the gate asks less where the other policy does worse. Sessions, on a quiet day: refused throughout is at most 0.12 of a
class's more than chance gives, which is the mean over its sessions of its refused share to the power of the turns.
Dispatchers, on quiet and roll days: at most one in ten turns away all that it gets, 15 or more, for 4 s on end from the
first to the last, with no attempt in between. Of repeated attempts the log tells the last one's time alone, so a
stretch may be taken for longer than it was. Worth, shares of tenants and what a killed process had open are not told.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent))

from stages import Row, rows, sent

REFUSALS = {"overloaded", "draining", "edge_full", "planner_lost"}
PROMPT_PART, PROMPT_PART_QUIET = 1 / 2, 2 / 3
SESSIONS_OVER_CHANCE = 0.12
STRETCH_MS, STRETCH_REQUESTS, STRETCH_DISPATCHERS = 4_000.0, 15, 0.1


@dataclass(frozen=True, slots=True)
class Request:
    """What a client wanted once, however often it sent it."""

    cls: str
    tenant: str
    session: str
    prompt: float
    came_ms: float
    answered: bool
    refused: bool


@dataclass(frozen=True, slots=True)
class Figure:
    """One row: a share of some requests, sessions or dispatchers, and what bounds it, if that is known."""

    name: str
    count: int
    share: float
    bound: float | None = None
    at_most: bool = False

    @property
    def margin(self) -> float | None:
        """How far on the right side of its bound it is."""
        if self.bound is None:
            return None
        return self.bound - self.share if self.at_most else self.share - self.bound

    def __str__(self) -> str:
        bound = "-" if self.bound is None else f"{'<=' if self.at_most else '>='} {self.bound:.3f}"
        margin = "-" if self.margin is None else f"{self.margin:+.3f}"
        return f"{self.name:<46}{self.count:>7}{self.share:>8.3f}{bound:>10}{margin:>9}"


def never_sent(row: Row) -> bool:
    """No attempt was made for it."""
    reads, writes, _, _ = row["tries"].split(",")
    return reads == writes == "0"


def refused(row: Row) -> bool:
    """It was turned away, or failed with nothing done, which counts as the same."""
    return row["end"] in REFUSALS or (row["end"] != "left" and never_sent(row))


def requests(lines: Iterable[Row]) -> list[Request]:
    """All that clients wanted, by the time it first came."""
    same: dict[tuple[str, ...], list[Row]] = defaultdict(list)
    for row in lines:
        alone = row["id"] if row["session"] in ("", "-", "None") else ""  # of no session: every line is its own
        same[row["cls"], row["tenant"], row["session"], row["prompt"], alone].append(row)
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
        for (cls, tenant, session, prompt, alone), copies in same.items()
    ]
    return sorted(found, key=lambda r: (r.came_ms, r.session, r.prompt))


def answered(some: list[Request]) -> float:
    """The answered share; 1 of none."""
    return sum(r.answered for r in some) / len(some) if some else 1.0


def prompt_groups(some: list[Request]) -> dict[str, list[Request]]:
    """A class's longest prompts and the next ones, by what they are called."""
    ordered = sorted(some, key=lambda r: -r.prompt)
    name, part = ("quarter", 4) if len(some) < 400 else ("tenth", 10)
    end = max(len(some) // part, 1)
    groups = {f"longest {name} of prompts": ordered[:end], "next fifth of prompts": ordered[end : end + len(some) // 5]}
    return {name: group for name, group in groups.items() if group}


def refused_sessions(name: str, some: list[Request], quiet: bool) -> Figure:
    """How many of a class's sessions were refused throughout."""
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
    """How long one dispatcher turned away all that came, many enough; clients that left unserved are passed over."""
    away = [(float(row["came"]), True) for row in lines if refused(row) and never_sent(row)]
    others = [(float(row["came"]), False) for row in lines if not never_sent(row)]
    attempts = [(at, False) for times in sent(lines).values() for at in times]
    stretch: list[float] = []
    longest = 0.0
    for at, turned in sorted(away + others + attempts):
        stretch = [*stretch, at] if turned else []
        if len(stretch) >= STRETCH_REQUESTS:
            longest = max(longest, at - stretch[0])
    return longest


def figures(dispatchers: list[list[Row]], effects: dict[str, str], quiet: bool, roll: bool) -> list[Figure]:
    """All rows of a day, from the lines of each dispatcher."""
    everything = requests(row for lines in dispatchers for row in lines)
    if not everything:
        return []
    start, span = everything[0].came_ms, max(everything[-1].came_ms - everything[0].came_ms, 1.0)
    groups: dict[str, list[Request]] = defaultdict(list)
    for r in everything:
        groups[f"0 class {r.cls}"].append(r)
        groups[f"1 tenant {r.tenant}"].append(r)
        if effects:
            groups[f"2 effect {effects[r.cls]}"].append(r)
        groups[f"3 third {min(int(3 * (r.came_ms - start) / span), 2) + 1} of the day"].append(r)
    out = [Figure("all", len(everything), answered(everything))]
    out += [Figure(name[2:], len(some), answered(some)) for name, some in sorted(groups.items())]
    for cls in sorted({r.cls for r in everything}):
        some = groups[f"0 class {cls}"]
        floor = (PROMPT_PART_QUIET if quiet else PROMPT_PART) * answered(some)
        out += [
            Figure(f"{cls}: {name}", len(group), answered(group), floor) for name, group in prompt_groups(some).items()
        ]
        out.append(refused_sessions(f"{cls}: refused sessions", some, quiet))
    stretches = [longest_ms(lines) for lines in dispatchers]
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
    """The last line; bounds of which nothing is used come last, for they'd hide the others."""
    known = [(f.at_most and not f.share, f.margin, f.name) for f in day if f.margin is not None]
    return f"least margin {min(known)[1]:+.3f}: {min(known)[2]}" if known else "least margin: none is known"


@click.command()
@click.option("--quiet", is_flag=True, help="A quiet day (calm): two thirds, and all bounds.")
@click.option("--roll", is_flag=True, help="A roll day: dispatchers are bound.")
@click.option("--effects", default="", help="CLASS=EFFECT,... of all classes, as the day's settings have them.")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(folder: Path, quiet: bool, roll: bool, effects: str) -> None:
    """Print a day's rows and the least margin."""
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
                "no bound: it is a part of what the late-seeing policy serves, which logs do "
                "not tell, or is not asked on such a day",
                least(day),
            ]
        )
    )


if __name__ == "__main__":
    main()
