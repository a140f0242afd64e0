"""Stand-in for a unit: serves its load and request counts, and can fail by version.

A version named `never...` exits at start; one named `ill...` serves with a high failure rate.
Run: `python -m tests.unit_standin run NAME VERSION PORT JOURNAL` or
`python -m tests.unit_standin check PORT TIMEOUT_S`.
"""

from __future__ import annotations

import http.client
import http.server
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

FAILS_TO_START, SERVES_BADLY = (
    "never",
    "ill",
)  # prefixes of versions that exit at start, and of those whose requests fail


def run(name: str, version: str, port: int, journal: str) -> None:
    def write_event(event: str) -> None:
        with Path(journal).open("a") as out:
            out.write(json.dumps({"t": time.time_ns() // 1_000, "unit": name, "ev": event, "version": version}) + "\n")

    if version.startswith(FAILS_TO_START):
        write_event("did not start")
        sys.exit(3)
    counts = {"served": 0, "bad": 0}

    class Page(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            if self.path == "/work":  # each call counts as a hundred requests
                bad = 20 if version.startswith(SERVES_BADLY) else 1
                counts["served"] += 100 - bad
                counts["bad"] += bad
            body = json.dumps({"load": 1.0, "room": 10.0, **counts}).encode()
            self.send_response(200)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            pass

    def shut_down(*_: object) -> None:
        write_event("down")
        sys.exit(0)

    server = http.server.ThreadingHTTPServer(("127.0.0.1", port), Page)
    signal.signal(signal.SIGTERM, shut_down)
    write_event("up")
    server.serve_forever()


def check(port: int, timeout_s: float) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request("GET", "/")
        print(connection.getresponse().read().decode(), flush=True)
    except OSError:
        sys.exit(2)


if __name__ == "__main__":
    if sys.argv[1] == "run":
        run(sys.argv[2], sys.argv[3], int(sys.argv[4]), sys.argv[5])
    else:
        check(int(sys.argv[2]), float(sys.argv[3]))
