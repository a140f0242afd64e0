"""The adapter: speaks the bench's wire and hosts policy instances. It decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from yardspindle import interface as i
from yardspindle.policy import Policy
from yardspindle.settings_map import parse_settings

STATUS = {
    "S": i.Status.SERVED,
    "E": i.Status.ERROR,
    "F": i.Status.FULL,
    "T": i.Status.TIMEOUT,
    "C": i.Status.CONNECT_FAILED,
    "R": i.Status.RESET,
    "X": i.Status.CANCELLED,
    "N": i.Status.MOOT,
    "prefilled": i.Status.READ,
}
STATE = {"SERVING": i.State.SERVING, "DRAINING": i.State.DRAINING, "DELETED": i.State.GONE}
LISTS = {"D": i.ListKind.CHANGES, "F": i.ListKind.COMPLETE, "C": i.ListKind.STALE, "X": i.ListKind.FAILED}
LOAD = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
    "x0": "x0",
    "x1": "x1",
}
# Fields of each message after its name; a line with another number of fields is malformed.
FIELDS = {
    "view": 4,
    "submit": 12,
    "flowing": 5,
    "resolved": 9,
    "hangup": 2,
    "due": 2,
    "probe_result": 5,
    "memo": 3,
    "crash_now": 1,
    "reserved": 6,
}


class Malformed(Exception):
    """The input does not follow the wire."""


def absent(text: str) -> str | None:
    """A text value, or None where the wire has `-`."""
    return None if text in ("-", "") else text


def number(text: str) -> float:
    """A number, 0 where the wire has `-`."""
    return 0.0 if text == "-" else float(text)


def whole(text: str) -> int:
    """A whole number, 0 where the wire has `-`."""
    return 0 if text == "-" else int(text)


def load(text: str) -> dict[str, float] | None:
    """A load report; names that are not known are passed over."""
    if text in ("-", ""):
        return None
    pairs = (part.split(":", 1) for part in text.split(","))
    return {LOAD[name]: float(value) for name, value in pairs if name in LOAD}


class Host:
    """The instances of this process and the lists that view events name."""

    def __init__(self) -> None:
        """Start with no instance."""
        self.policies: dict[int, Policy] = {}
        self.lists: dict[int, tuple[i.Entry, ...]] = {}
        self.read: dict[str, Callable[[list[str]], i.Event]] = {
            "view": lambda f: i.Members(LISTS[f[1]], whole(f[2]), () if f[1] == "X" else self.lists[int(f[3])]),
            "submit": self.submit,
            "flowing": lambda f: i.First(int(f[1]), int(f[2]), int(f[3]), whole(f[4])),
            "resolved": lambda f: i.Outcome(
                int(f[1]), int(f[2]), int(f[3]), STATUS[f[4]], whole(f[5]), f[6] == "1", int(number(f[7])), load(f[8])
            ),
            "hangup": lambda f: i.Hangup(int(f[1])),
            "due": lambda f: i.Timer(int(f[1])),
            "probe_result": lambda f: i.Probed(int(f[3]), STATUS[f[1]], whole(f[2]), load(f[4])),
            "memo": lambda f: i.PeerMessage(int(f[1]), b"" if f[2] == "-" else bytes.fromhex(f[2])),
            "reserved": lambda f: i.Note(int(f[1]), int(f[2]), int(f[3]), f[4] == "1"),
        }

    @staticmethod
    def submit(f: list[str]) -> i.Request:
        """Read a request."""
        flags = whole(f[4])
        return i.Request(
            request=int(f[1]),
            cls=f[6],
            expires_us=int(f[8]),
            prompt_tokens=number(f[5]),
            prefix_tokens=number(f[3]),
            max_out=number(f[2]),
            tenant=None if f[9] in ("-", "0") else f[9],
            prefix=None if f[10] in ("-", "0") else f[10],
            session=absent(f[11]),
            hint_us=number(f[7]) if flags & 1 else None,
            repeat=bool(flags & 2),
            resumed=bool(flags & 16),
        )

    def event(self, now: int, name: str, rest: str) -> list[str]:
        """Hand one event to its instance and give back the reply's lines."""
        if name == "spawn":
            who, seed, setup = rest.split(" ", 2)
            self.policies[int(who)] = Policy(parse_settings(json.loads(setup)), int(seed))
            return []
        if name not in FIELDS:
            raise Malformed(f"unknown message {name!r}")
        fields = rest.split(" ")
        if len(fields) != FIELDS[name]:
            raise Malformed(f"{name} has {len(fields)} fields, {FIELDS[name]} expected")
        who_is = int(fields[0])
        if who_is not in self.policies:
            raise Malformed(f"{name} for instance {who_is}, which was not spawned")
        if name == "crash_now":
            del self.policies[who_is]
            return []
        event = self.read[name](fields)
        try:
            return [wire(who_is, action) for action in self.policies[who_is].handle(now, event)]
        except Exception as fault:  # noqa: BLE001 - whatever broke in the policy is reported, not hidden
            return [f"fatal {who_is} {type(fault).__name__}: {' '.join(str(fault).split())}"]


def wire(who: int, action: i.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case i.Send(request, server, timeout):
            return f"attempt {who} {request} {server} {timeout}"
        case i.Ahead(request, server):
            return f"claim_writer {who} {request} {server}"
        case i.Discard(request):
            return f"discard {who} {request}"
        case i.Refuse(request, wait):
            return f"decline {who} {request} {wait}"
        case i.Fail(request):
            return f"drop_request {who} {request}"
        case i.Cancel(request, attempt):
            return f"drop_attempt {who} {request} {attempt}"
        case i.Move(request):
            return f"evict {who} {request}"
        case i.SetTimer(due, token):
            return f"wake_me {who} {due} {token}"
        case i.Probe(server):
            return f"test {who} {server}"
        case i.CloseIdle(server):
            return f"let_go {who} {server}"
        case i.Tell(peer, data):
            return f"say {who} {'all' if peer is None else peer} {data.hex() or '-'}"
        case i.Watch(on):
            return f"watch {who} {int(on)}"
        case i.FetchList():
            return f"list_all {who}"
        case i.Log(text):
            return f"print {who} {' '.join(text.split())}"


def entry(line: str) -> i.Entry:
    """One line of the server list."""
    name, *f = line.split(" ")
    if name != "entry" or len(f) != 7:
        raise Malformed("an entry with 7 fields expected")
    return i.Entry(int(f[0]), f[1], f[2], int(f[3]), STATE[f[4]], number(f[5]), whole(f[6]))


def batches(lines: Iterator[str], host: Host) -> Iterator[list[str]]:
    """Answer batch after batch until the input ends."""
    for line in lines:
        name, _, rest = line.partition(" ")
        if name != "frame":
            raise Malformed(f"frame expected, not {name!r}")
        now, reply = int(rest), []
        for line in lines:
            name, _, rest = line.partition(" ")
            if name == "eob":
                break
            if name == "page":
                number_of, count = (int(part) for part in rest.split(" "))
                host.lists[number_of] = tuple(entry(next(lines, "")) for _ in range(count))
            else:
                reply += host.event(now, name, rest)
        else:
            raise Malformed("the input ends inside a frame")
        yield reply


def main(source: TextIO = sys.stdin, target: TextIO = sys.stdout) -> int:
    """Read the wire from source, write the replies to target."""
    at = 0

    def numbered() -> Iterator[str]:
        nonlocal at
        for line in source:
            at += 1
            yield line.rstrip("\r\n")

    try:
        for reply in batches((line for line in numbered() if line), Host()):
            target.write("\n".join([*reply, "yield\n"]))
            target.flush()
    except (Malformed, ValueError, KeyError, TypeError, IndexError) as fault:
        what = f"no such value: {fault}" if isinstance(fault, KeyError) else str(fault)
        print(f"line {at}: {what}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
