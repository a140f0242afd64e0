"""Model host as a process: `python host.py JSON`, with name, role ("read" or "write"), folder and options.

It speaks the users' protocol and writes each step to FOLDER/NAME.jsonl with the time of the monotonic clock. The hosts
share by files what the platform knows of a request: reads/ID (a read is out), states/ID (a reader holds its state) and
places/ID@HOST (a writer holds a place). Options, all off by default:

- `work_s`: seconds of work of an attempt, from the last byte of a read or write to its answer;
- `events`, `gap_s`: mean number of events of a stream (drawn between a quarter of it and almost twice), and the time
  between them;
- `slots`: a reader that works on so many turns further reads away (503, `Srv-Declined: 1`); 0: no bound;
- `second_share`, `second_s`: share of streams behind which a second answer comes, and how many seconds later.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
from pathlib import Path
from time import monotonic
from typing import Any

UNKNOWN_READ_S = 0.3  # a writer that knows of no read of the request answers 204 after this time
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
REASONS = {200: b"OK", 202: b"Accepted", 204: b"No Content", 400: b"Bad Request", 404: b"Not Found"}


def plain(status: int, body: bytes = b"", declined: bool = False) -> bytes:
    """A complete answer."""
    head = b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Declined"))
    head += b"srv-declined: 1\r\n" if declined else b""
    head += b"" if status == 204 else b"content-length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def chunk(data: bytes) -> bytes:
    """A chunk of a stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(request_id: str, number: int) -> bytes:
    """An event that names its request."""
    choice = {"index": 0, "delta": {"content": f"{request_id}:{number} "}, "finish_reason": None}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":1000,"prompt_tokens_details":{"cached_tokens":64}}}\n\n'
DONE = b"data: [DONE]\n\n"


class Host:
    """One model host."""

    def __init__(self, options: dict[str, Any]) -> None:
        """Take the options and open the log."""
        self.name, self.role = options["name"], options["role"]
        self.folder = Path(options["folder"])
        self.work_s = options.get("work_s", 0.03)
        self.events, self.gap_s = options.get("events", 4), options.get("gap_s", 0.01)
        self.slots = options.get("slots", 0)
        self.second_share, self.second_s = options.get("second_share", 0.0), options.get("second_s", 0.005)
        self.random = random.Random(self.name)
        self.working = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.log = open(self.folder / f"{self.name}.jsonl", "a", buffering=1)  # noqa: SIM115

    def record(self, what: str, request_id: str, **more: Any) -> None:
        """Write one step to the log."""
        row = {"at": monotonic(), "what": what, "id": request_id, "host": self.name, "role": self.role, **more}
        self.log.write(json.dumps(row) + "\n")

    def drop(self, request_id: str) -> None:
        """Let go of all that is held for a request, at any host."""
        (self.folder / "states" / request_id).unlink(missing_ok=True)
        for place in (self.folder / "places").glob(f"{request_id}@*"):
            place.unlink(missing_ok=True)


class Connection(asyncio.Protocol):
    """One connection: its requests are served one after the other, in the order in which they came."""

    def __init__(self, host: Host) -> None:
        """Wait for the connection."""
        self.host = host
        self.buffer = b""
        self.first_at = 0.0
        self.calls: asyncio.Queue[tuple[bytes, dict[bytes, bytes], float] | None] = asyncio.Queue()
        self.open = True
        self.attempt, self.ended = "", True
        self.closed = asyncio.Event()

    def connection_made(self, transport: Any) -> None:
        """Start to serve."""
        self.transport = transport
        self.host.tasks.add(task := asyncio.ensure_future(self.serve()))
        task.add_done_callback(self.host.tasks.discard)

    def data_received(self, data: bytes) -> None:
        """Queue the requests that are whole."""
        self.first_at = self.first_at or monotonic()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(b":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get(b"content-length", b"0"))
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.calls.put_nowait((lines[0], headers, self.first_at))
            self.first_at = monotonic() if self.buffer else 0.0

    def connection_lost(self, error: Exception | None) -> None:
        """The dispatcher has closed."""
        self.open = False
        self.closed.set()
        self.calls.put_nowait(None)  # what came before it is served first

    def write(self, data: bytes) -> None:
        """Write unless the connection is closed."""
        if self.open:
            self.transport.write(data)

    async def pause(self, seconds: float) -> None:
        """Work for so long, or until the dispatcher closes."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.closed.wait(), seconds)

    async def serve(self) -> None:
        """Serve what comes."""
        while (call := await self.calls.get()) is not None:
            line, headers, first_at = call
            method, target, _ = line.split(b" ")
            if b"/bootstrap/rooms/" in target:
                request_id = target.rpartition(b"/")[2].decode()
                if method == b"DELETE":
                    self.host.drop(request_id)
                    self.host.record("freed", request_id)
                    self.write(plain(204))
                else:
                    await self.place(request_id)
                continue
            request_id = headers.get(b"req-id", b"").decode()
            if not request_id:
                self.write(plain(404))
                continue
            if not self.open:
                self.host.record("given up unread", request_id)
                continue
            attempt = f"{self.host.name}/{monotonic()}"
            told = int(headers.get(b"req-deadline-ms", b"0"))
            self.host.record("attempt", request_id, attempt=attempt, first=first_at, told=told)
            self.attempt, self.ended = attempt, False
            await (self.read if self.host.role == "read" else self.answer)(request_id)
            self.over(request_id, "closed")

    def over(self, request_id: str, how: str) -> None:
        """Log the end of an attempt, before its answer is written."""
        if not self.ended:
            self.ended = True
            self.host.record("over", request_id, attempt=self.attempt, how=how)

    async def place(self, request_id: str) -> None:
        """Hold a place. It is held from now on, also where it is not known whether a read is out."""
        (self.host.folder / "places" / f"{request_id}@{self.host.name}").touch()
        self.host.record("place", request_id, open=self.open)
        until = monotonic() + UNKNOWN_READ_S
        while not (self.host.folder / "reads" / request_id).exists():
            if monotonic() > until:
                self.write(plain(204))
                return
            await asyncio.sleep(0.002)
        self.write(plain(200))

    async def read(self, request_id: str) -> None:
        """Read a prompt."""
        host = self.host
        if host.slots and host.working >= host.slots:
            self.over(request_id, "declined")
            return self.write(plain(503, declined=True))
        read = host.folder / "reads" / request_id
        read.touch()
        host.working += 1
        try:
            await self.pause(host.work_s)
            if not self.open:
                return None
            (host.folder / "states" / request_id).touch()
            host.record("state", request_id)
            self.over(request_id, "read")
            return self.write(plain(202, b'{"cached_tokens":64}'))
        finally:
            host.working -= 1
            read.unlink(missing_ok=True)

    async def answer(self, request_id: str) -> None:
        """Fetch the state and write the answer."""
        host = self.host
        if not self.open:
            return
        try:
            (host.folder / "states" / request_id).unlink()
        except FileNotFoundError:
            self.over(request_id, "no state")
            return self.write(plain(410, declined=True))
        host.record("fetched", request_id)
        host.drop(request_id)  # what else is held goes with the first event
        await self.pause(host.work_s)
        count = host.random.randint(max(host.events // 4, 1), host.events * 7 // 4)
        events = [event(request_id, number) for number in range(count)] + [USAGE, DONE]
        for number, data in enumerate(events):
            if number:
                await self.pause(host.gap_s if number < count else 0.001)
            if not self.open:
                return
            if number == len(events) - 1:
                self.over(request_id, "served")
            self.write((b"" if number else STREAM_HEAD) + chunk(data))
            if not number:
                host.record("first", request_id)
        self.write(b"0\r\n\r\n")
        if host.random.random() < host.second_share:
            second = STREAM_HEAD + b"".join(chunk(data) for data in events) + b"0\r\n\r\n"
            asyncio.get_running_loop().call_later(host.second_s, self.second, request_id, second)

    def second(self, request_id: str, data: bytes) -> None:
        """Send a second answer behind a good one."""
        self.host.record("second answer", request_id)
        self.write(data)


async def main() -> None:
    """Serve until the process is ended."""
    host = Host(json.loads(sys.argv[1]))
    server = await asyncio.get_running_loop().create_server(lambda: Connection(host), "127.0.0.1", 0, backlog=512)
    print(server.sockets[0].getsockname()[1], flush=True)
    parent = os.getppid()
    while os.getppid() == parent:  # end with the test, however it ends
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    asyncio.run(main())
