"""The platform's dispatcher as a process: its configuration, its signals, its one-line error for a bad start."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from tests.platform_standin import SETTINGS
from tests.ports import port_of, reserve_port
from yardspindle.protocol import http1
from yardspindle.runtime.real import RealWorld
from yardspindle.runtime.scheduler import Closed
from yardspindle.runtime.world import ConnectError, Stream, StreamError

ROOT = Path(__file__).parent.parent
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"].replace(
    ".venv/bin/python", sys.executable
)
SIGHUP_DURING_READ = """
import os, signal, sys
from yardspindle.node.__main__ import main
from yardspindle.runtime.real import RealWorld

def read_file(world, path, max_bytes):
    data = original(world, path, max_bytes)
    RealWorld.read_file = original
    os.replace(path + ".new", path)
    os.kill(os.getpid(), signal.SIGHUP)
    return data

original, RealWorld.read_file = RealWorld.read_file, read_file
sys.exit(main())
"""


def start_process(path: str, listen: str, discovery: str, *command: str) -> subprocess.Popen[str]:
    env = {
        **os.environ,
        "ROUTER_NAME": "n",
        "ROUTER_LISTEN": listen,
        "ROUTER_DISCOVERY": discovery,
        "ROUTER_CONFIG": path,
    }
    return subprocess.Popen(
        command or [sys.executable, "-m", "yardspindle.node"],
        cwd=ROOT,
        env=env,
        text=True,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
    )


@pytest.mark.parametrize(
    "bad",
    [
        "{",
        '{"x":' + "[" * 100_000,
        json.dumps({"settings": SETTINGS, "discovery": "999.0.0.1:1"}),
        json.dumps({"settings": SETTINGS, "known": {"revision": 1, "complete": True, "members": [{"id": "h"}]}}),
    ],
)
def test_it_serves_reads_new_configurations_and_ends_in_good_order(tmp_path: Path, bad: str) -> None:
    world = RealWorld(1)
    asked: list[str] = []
    path = tmp_path / "config.json"
    agent_asked = world.signal()

    def agent(name: str) -> str:
        listener = world.listen("127.0.0.1", 0)

        def serve(stream: Stream) -> None:
            with contextlib.suppress(StreamError):  # the dispatcher switched to the other agent, or ended
                answer(stream)

        def answer(stream: Stream) -> None:
            parser = http1.RequestParser()
            while data := stream.read():
                parser.feed(data)
                while (event := parser.next_event()) is not None:
                    if isinstance(event, http1.RequestHead):
                        asked.append(name)
                        agent_asked.set()
                        if b"index" in event.target:  # a watch: no answer
                            continue
                        stream.write(
                            http1.write_response(
                                200,
                                [],
                                json.dumps(
                                    {
                                        "revision": 1,
                                        "complete": True,
                                        "members": [{"id": "r", "host_port": "127.0.0.1:1", "flavor": "reads"}],
                                    }
                                ).encode(),
                            )
                        )

        def accept() -> None:
            try:
                while True:
                    world.spawn("serve", serve, listener.accept())
            except Closed:
                return

        world.spawn("accept", accept)
        return f"127.0.0.1:{listener.port}"

    def health_status(port: int) -> bytes:
        try:
            stream = world.connect("127.0.0.1", port, world.now_us() + 1_000_000)
        except ConnectError:
            return b""
        stream.write(b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n")
        return stream.read()[:12]

    def main() -> tuple[int, str]:
        nonlocal agent_asked
        first, second = agent("first"), agent("second")
        reserved = reserve_port()
        port = port_of(reserved)
        path.write_text(json.dumps({"settings": SETTINGS}))
        process = start_process(str(path), f"127.0.0.1:{port}", first)
        try:
            with world.deadline(world.now_us() + 20_000_000):
                while health_status(port) != b"HTTP/1.1 200":
                    world.sleep_until(world.now_us() + 20_000)
                assert asked[0] == "first"
                path.write_text(bad)  # rejected: the previous address stays in use
                process.send_signal(signal.SIGHUP)
                world.sleep_until(world.now_us() + 200_000)  # it is read, and later signals are still handled
                assert set(asked) == {"first"}
                path.write_text(json.dumps({"settings": SETTINGS, "discovery": second}))
                agent_asked = world.signal()
                process.send_signal(signal.SIGHUP)
                while "second" not in asked:
                    agent_asked.wait()
                    agent_asked = world.signal()
                assert health_status(port) == b"HTTP/1.1 200"
                process.send_signal(signal.SIGTERM)
                while health_status(port) == b"HTTP/1.1 200":
                    world.sleep_until(world.now_us() + 5_000)
                assert health_status(port) == b"HTTP/1.1 503"  # it still answers
                while process.poll() is None:
                    world.sleep_until(world.now_us() + 20_000)
        finally:
            if process.poll() is None:
                process.kill()
            _, log = process.communicate()
            reserved.close()
        return process.returncode, log

    code, log = world.run("main", main)
    assert code == 0 and "ready name=n" in log and "draining" in log
    assert log.count("the new configuration is not taken") == 1 and log.count("new configuration discovery=") == 1
    assert "Traceback" not in log and "failed" not in log.replace("failed=0", "") and "violations=0" in log


BAD_FILES = {
    "none": "No such file or directory",
    "folder": "Is a directory",
    "endless": "over 16777216 bytes",
    "pipe": "invalid JSON: Input data was truncated",
    "empty": "invalid JSON: Input data was truncated",
}


@pytest.mark.parametrize("name", BAD_FILES)
def test_a_bad_start_is_one_line(tmp_path: Path, name: str) -> None:
    """An endless file was read until memory was full, and a pipe without a writer blocked the program."""
    (tmp_path / "folder").mkdir()
    (tmp_path / "endless").symlink_to("/dev/zero")
    (tmp_path / "empty").touch()
    os.mkfifo(tmp_path / "pipe")
    path = str(tmp_path / name)
    process = start_process(
        path, "127.0.0.1:1", "127.0.0.1:2", "sh", "-c", f"ulimit -v 1000000; exec {sys.executable} -m yardspindle.node"
    )
    try:
        _, log = process.communicate(timeout=20)
    finally:
        process.kill()
    assert process.returncode == 2 and log == f"{path}: {BAD_FILES[name]}\n"


@pytest.mark.parametrize("when", ["before a line of it runs", "as the file is read"])
def test_a_new_configuration_that_is_told_during_the_start_is_taken(tmp_path: Path, when: str) -> None:
    """SIGHUP before the handlers were installed ended the process, and the file was read before that."""
    path, new_path = tmp_path / "config.json", tmp_path / "config.json.new"
    with socket.create_server(("127.0.0.1", 0)) as first, socket.create_server(("127.0.0.1", 0)) as second:
        second.settimeout(20)
        reserved = reserve_port()
        listen = f"127.0.0.1:{port_of(reserved)}"
        old, new = (f"127.0.0.1:{agent.getsockname()[1]}" for agent in (first, second))
        path.write_text(json.dumps({"settings": SETTINGS}))
        new_path.write_text(json.dumps({"settings": SETTINGS, "discovery": new}))
        if when == "as the file is read":
            process = start_process(str(path), listen, old, sys.executable, "-c", SIGHUP_DURING_READ)
        else:
            process = start_process(str(path), listen, old, "sh", "-c", RUN_COMMAND)
            while not Path(f"/proc/{process.pid}/cmdline").read_bytes().startswith(sys.executable.encode()):
                assert process.poll() is None, "the process ended during its start"
                time.sleep(0.001)
            os.replace(new_path, path)
            process.send_signal(signal.SIGHUP)
        try:
            second.accept()[0].close()
            assert process.poll() is None
        finally:
            process.kill()
            process.communicate()
            reserved.close()


FILES_SHORT_AT_START = """
import errno, os, sys
from yardspindle.node.__main__ import main
from yardspindle.runtime.real import RealWorld

def read_file(world, path, max_bytes):
    codes.pop(0) if codes else None
    if codes:
        raise OSError(codes[0], os.strerror(codes[0]))
    return original(world, path, max_bytes)

codes = [0, errno.ENFILE, errno.ENOMEM]
original, RealWorld.read_file = RealWorld.read_file, read_file
sys.exit(main())
"""


def test_a_start_goes_on_once_the_system_can_open_files(tmp_path: Path) -> None:
    """Guards against a start that is refused as the system's table of files is full for a moment."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": SETTINGS}))
    with socket.create_server(("127.0.0.1", 0)) as agent:
        agent.settimeout(20)
        reserved = reserve_port()
        address = f"127.0.0.1:{agent.getsockname()[1]}"
        command = (sys.executable, "-c", FILES_SHORT_AT_START)
        process = start_process(str(path), f"127.0.0.1:{port_of(reserved)}", address, *command)
        try:
            agent.accept()[0].close()  # it follows discovery: it has started
        finally:
            process.kill()
            process.communicate()
            reserved.close()
