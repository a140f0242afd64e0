"""Adapter to the operators' simulator: runs instances of the routing policy over its line protocol on stdin and stdout.

It only translates between lines and the types of yardspindle/interface.py. Input comes in frames (groups of lines, from
`frame` to `eob`); the reply to each frame ends with `yield`. `spawn` creates an instance, `crash_now` removes one, and
`page` defines a server list by its entries; all other messages are events for an instance. The module keeps its name
because deploy/balancer.toml starts the adapter by it.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from yardspindle import interface as i
from yardspindle.policy import Policy
from yardspindle.settings_map import parse_settings

# Codes of the protocol.
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
# Names of the values in load reports, which the policy does not use; x0 and x1 are passed on under their own names.
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
# Number of fields after the name of each message; a line with any other number is malformed. The comments name the
# fields in order, from field 0, the instance; `_` is not read.
FIELD_COUNTS = {
    "view": 4,  # INSTANCE LIST_KIND VERSION LIST_NUMBER (of a `page`)
    # INSTANCE REQUEST MAX_OUT PREFIX_TOKENS FLAGS PROMPT_TOKENS CLASS HINT_US EXPIRES_US TENANT PREFIX SESSION
    "submit": 12,
    "flowing": 5,  # INSTANCE REQUEST ATTEMPT SERVER LATENCY_US
    "resolved": 9,  # INSTANCE REQUEST ATTEMPT SERVER STATUS LATENCY_US CLOSED NOTE LOAD
    "hangup": 2,  # INSTANCE REQUEST
    "due": 2,  # INSTANCE TIMER_TOKEN
    "probe_result": 5,  # INSTANCE STATUS LATENCY_US SERVER LOAD
    "memo": 3,  # INSTANCE SENDER DATA (hexadecimal)
    "crash_now": 1,  # INSTANCE
    "reserved": 6,  # INSTANCE REQUEST ATTEMPT SERVER HELD _
}


class Malformed(Exception):
    """The input violates the simulator's protocol."""


def optional_text(text: str) -> str | None:
    """Parse a text field; `-` and an empty field mean None."""
    return None if text in ("-", "") else text


def number(text: str) -> float:
    """Parse a number; `-` means 0."""
    return 0.0 if text == "-" else float(text)


def integer(text: str) -> int:
    """Parse an integer; `-` means 0."""
    return 0 if text == "-" else int(text)


def load(text: str) -> dict[str, float] | None:
    """Parse a load report, `name:value` pairs; unknown names are ignored."""
    if text in ("-", ""):
        return None
    pairs = (part.split(":", 1) for part in text.split(","))
    return {LOAD[name]: float(value) for name, value in pairs if name in LOAD}


class Instances:
    """The policies of this process, one per simulated router, and the server lists that `view` events refer to."""

    def __init__(self) -> None:
        """Start with no instance and no list."""
        self.policies: dict[int, Policy] = {}
        self.lists: dict[int, tuple[i.Entry, ...]] = {}
        self.parsers: dict[str, Callable[[list[str]], i.Event]] = {
            "view": lambda f: i.Members(LISTS[f[1]], integer(f[2]), () if f[1] == "X" else self.lists[int(f[3])]),
            "submit": self.parse_request,
            "flowing": lambda f: i.First(int(f[1]), int(f[2]), int(f[3]), integer(f[4])),
            "resolved": lambda f: i.Outcome(
                int(f[1]), int(f[2]), int(f[3]), STATUS[f[4]], integer(f[5]), f[6] == "1", int(number(f[7])), load(f[8])
            ),
            "hangup": lambda f: i.Hangup(int(f[1])),
            "due": lambda f: i.Timer(int(f[1])),
            "probe_result": lambda f: i.Probed(int(f[3]), STATUS[f[1]], integer(f[2]), load(f[4])),
            "memo": lambda f: i.PeerMessage(int(f[1]), b"" if f[2] == "-" else bytes.fromhex(f[2])),
            "reserved": lambda f: i.Note(int(f[1]), int(f[2]), int(f[3]), f[4] == "1"),
        }

    @staticmethod
    def parse_request(f: list[str]) -> i.Request:
        """Parse a request; flags: 1 it has a hint (`hint_us`), 2 the client repeats it, 16 it resumes a broken stream.

        Other flags are ignored.
        """
        flags = integer(f[4])
        return i.Request(
            request=int(f[1]),
            cls=f[6],
            expires_us=int(f[8]),
            prompt_tokens=number(f[5]),
            prefix_tokens=number(f[3]),
            max_out=number(f[2]),
            tenant=None if f[9] in ("-", "0") else f[9],
            prefix=None if f[10] in ("-", "0") else f[10],
            session=optional_text(f[11]),
            hint_us=number(f[7]) if flags & 1 else None,
            repeat=bool(flags & 2),
            resumed=bool(flags & 16),
        )

    def handle(self, now_us: int, name: str, rest: str) -> list[str]:
        """Pass a message to its instance and return the reply lines."""
        if name == "spawn":
            spawned, seed, setup = rest.split(" ", 2)
            self.policies[int(spawned)] = Policy(parse_settings(json.loads(setup)), int(seed))
            return []
        if name not in FIELD_COUNTS:
            raise Malformed(f"unknown message {name!r}")
        fields = rest.split(" ")
        if len(fields) != FIELD_COUNTS[name]:
            raise Malformed(f"{name} has {len(fields)} fields, {FIELD_COUNTS[name]} expected")
        instance = int(fields[0])
        if instance not in self.policies:
            raise Malformed(f"{name} for instance {instance}, which was not spawned")
        if name == "crash_now":
            del self.policies[instance]
            return []
        event = self.parsers[name](fields)
        try:
            return [format_action(instance, action) for action in self.policies[instance].handle(now_us, event)]
        except Exception as error:  # noqa: BLE001 - any fault of the policy is reported to the simulator
            return [f"fatal {instance} {type(error).__name__}: {' '.join(str(error).split())}"]


def format_action(instance: int, action: i.Action) -> str:
    """Format an action as a line of the protocol."""
    match action:
        case i.Send(request, server, timeout):
            return f"attempt {instance} {request} {server} {timeout}"
        case i.Ahead(request, server):
            return f"claim_writer {instance} {request} {server}"
        case i.Discard(request):
            return f"discard {instance} {request}"
        case i.Refuse(request, wait):
            return f"decline {instance} {request} {wait}"
        case i.Fail(request):
            return f"drop_request {instance} {request}"
        case i.Cancel(request, attempt):
            return f"drop_attempt {instance} {request} {attempt}"
        case i.Move(request):
            return f"evict {instance} {request}"
        case i.SetTimer(due, token):
            return f"wake_me {instance} {due} {token}"
        case i.Probe(server):
            return f"test {instance} {server}"
        case i.CloseIdle(server):
            return f"let_go {instance} {server}"
        case i.Tell(peer, data):
            return f"say {instance} {'all' if peer is None else peer} {data.hex() or '-'}"
        case i.Watch(on):
            return f"watch {instance} {int(on)}"
        case i.FetchList():
            return f"list_all {instance}"
        case i.Log(text):
            return f"print {instance} {' '.join(text.split())}"


def entry(line: str) -> i.Entry:
    """Parse a line of a server list."""
    name, *f = line.split(" ")
    if name != "entry" or len(f) != 7:
        raise Malformed("an entry with 7 fields expected")
    return i.Entry(int(f[0]), f[1], f[2], int(f[3]), STATE[f[4]], number(f[5]), integer(f[6]))


def frames(lines: Iterator[str], instances: Instances) -> Iterator[list[str]]:
    """Yield the reply lines to each frame until the input ends."""
    for line in lines:
        name, _, rest = line.partition(" ")
        if name != "frame":
            raise Malformed(f"frame expected, not {name!r}")
        now_us, reply = int(rest), []
        for line in lines:
            name, _, rest = line.partition(" ")
            if name == "eob":
                break
            if name == "page":
                list_number, count = (int(part) for part in rest.split(" "))
                instances.lists[list_number] = tuple(entry(next(lines, "")) for _ in range(count))
            else:
                reply += instances.handle(now_us, name, rest)
        else:
            raise Malformed("the input ends inside a frame")
        yield reply


def main(source: TextIO = sys.stdin, target: TextIO = sys.stdout) -> int:
    """Read frames from `source` and write the replies to `target`; return the exit code."""
    line_number = 0

    def numbered() -> Iterator[str]:
        nonlocal line_number
        for line in source:
            line_number += 1
            yield line.rstrip("\r\n")

    try:
        for reply in frames((line for line in numbered() if line), Instances()):
            target.write("\n".join([*reply, "yield\n"]))
            target.flush()
    except (Malformed, ValueError, KeyError, TypeError, IndexError) as error:
        # A KeyError's text is the key alone: an unknown code or list number, or a missing key of the settings.
        reason = f"no such value: {error}" if isinstance(error, KeyError) else str(error)
        print(f"line {line_number}: {reason}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
