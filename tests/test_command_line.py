"""The command line as users see it: ready line, signals, one-line errors with exit code 2."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "yardspindle", *arguments]


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(command(*arguments), cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_up_serves_until_a_signal_and_leaves_nothing(number: signal.Signals, tmp_path: Path) -> None:
    environment = {**os.environ, "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(
        command("up"), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, env=environment
    )
    try:
        assert process.stdout is not None
        ready = process.stdout.readline().split()
        assert ready[0] == "ready" and ready[1].startswith("http://127.0.0.1:") and ready[1].endswith("/v1")
        body = json.dumps(
            {"model": "yardspindle-demo", "max_tokens": 2, "messages": [{"role": "user", "content": "Hello"}]}
        ).encode()
        request = urllib.request.Request(ready[1] + "/chat/completions", body, {"content-type": "application/json"})
        with urllib.request.urlopen(request, timeout=20) as answer:
            assert json.load(answer)["choices"][0]["message"]["content"] == "w0 w1"
        process.send_signal(number)
        assert process.wait(30) == 0
        assert process.stdout.read() == ""
        assert not list(tmp_path.iterdir())
    finally:
        process.kill()
        process.wait()


def test_a_port_in_use_is_one_line() -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied, tempfile.TemporaryDirectory() as folder:
        port = occupied.getsockname()[1]
        file = Path(folder) / "c.toml"
        file.write_text(f'[edge]\nlisten = "127.0.0.1:{port}"\n')
        result = run("edge", str(file))
        assert result.returncode == 2
        assert result.stderr.strip() == f"{file}: edge.listen: 127.0.0.1:{port}: Address already in use"
        (Path(folder) / "s.toml").write_text("count = 0")
        file.write_text(f'[planner]\nlisten = "127.0.0.1:{port}"\nservers = "{folder}/s.toml"\n')
        result = run("plan", str(file))
        assert (result.returncode, result.stdout) == (2, "")
        assert result.stderr.splitlines()[-1] == f"{file}: planner.listen: 127.0.0.1:{port}: Address already in use"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("x = 1", "x: unknown key"),
        ("[edge]\nnumber = 'a'", "edge.number: expected `int`, got `str`"),
        ("[rules]\nmax_attempts = 1", "rules.max_attempts: expected `int` >= 2"),
        ("a", "not TOML"),
    ],
)
@pytest.mark.parametrize("sub", [("config", "check"), ("edge",), ("plan",)])
def test_a_bad_configuration_is_one_line_and_exit_2(
    tmp_path: Path, sub: tuple[str, ...], text: str, message: str
) -> None:
    file = tmp_path / "c.toml"
    file.write_text(text)
    result = run(*sub, str(file))
    assert (result.returncode, result.stdout) == (2, "")
    assert result.stderr.startswith(f"{file}: {message}") and result.stderr.count("\n") == 1


def test_config_check_reads_the_server_list_too(tmp_path: Path) -> None:
    config, servers = tmp_path / "c.toml", tmp_path / "s.toml"
    config.write_text("")
    servers.write_text("count = 1")
    result = run("config", "check", str(config), "--servers", str(servers))
    assert result.returncode == 2 and result.stderr == f"{servers}: count: says 1, the list holds 0\n"
    servers.write_text("count = 0")
    assert run("config", "check", str(config), "--servers", str(servers)).returncode == 0
    assert run("config", "check", str(tmp_path / "none.toml")).stderr.endswith("No such file or directory\n")


def test_a_planner_without_its_list_does_not_start(tmp_path: Path) -> None:
    file = tmp_path / "c.toml"
    file.write_text(f'[planner]\nlisten = "127.0.0.1:0"\nservers = "{tmp_path}/none.toml"\n')
    result = run("plan", str(file))
    assert result.returncode == 2
    assert result.stderr.strip() == f"{tmp_path}/none.toml: No such file or directory"


def test_logs_are_structured_and_hold_no_prompt() -> None:
    with tempfile.TemporaryDirectory() as folder:
        secret = "the tank behind the red barn"
        script = (
            "import sys\nfrom pathlib import Path\nfrom tests.fleet_thread import FleetThread\n"
            "from yardspindle.cli.common import configure_logging\nfrom yardspindle.core.config import LogConfig\n"
            "configure_logging(LogConfig(level='debug'))\nimport urllib.request, json\n"
            f"with FleetThread(Path({folder!r})) as fleet:\n"
            "    body = json.dumps({'model': 'yardspindle-demo', 'max_tokens': 2, 'messages': "
            f"[{{'role': 'user', 'content': {secret!r}}}]}}).encode()\n"
            "    urllib.request.urlopen(urllib.request.Request(fleet.url + '/chat/completions', body, "
            "{'content-type': 'application/json'})).read()\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
        )
    lines = [json.loads(line) for line in result.stderr.splitlines()]
    request = next(line for line in lines if line["event"] == "request")
    assert request["request_id"].startswith("req-") and request["final"] == "served"
    assert secret not in result.stderr and "red barn" not in result.stderr


def test_the_adapter_starts_in_a_bare_interpreter() -> None:
    """The bench runs the adapter with the standard library only, so it may import no third-party package."""
    result = subprocess.run(
        [
            sys.executable,
            "-I",
            "-S",
            "-B",
            "-c",
            f"import sys; sys.path.insert(0, {str(ROOT)!r}); import yardspindle.drill as d; "
            "print(sorted(m.split('.')[0] for m in sys.modules if m.split('.')[0] in "
            "('greenlet', 'msgspec', 'structlog', 'click', 'xxhash', 'prometheus_client')), "
            "sorted(m for m in sys.modules if m.startswith('yardspindle')))",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == (
        "[] ['yardspindle', 'yardspindle.drill', 'yardspindle.interface', 'yardspindle.policy', "
        "'yardspindle.policy.decide', 'yardspindle.policy.readers', 'yardspindle.policy.request_lifecycle', "
        "'yardspindle.policy.servers', 'yardspindle.policy.slow_start', 'yardspindle.policy.state', "
        "'yardspindle.policy.writers', "
        "'yardspindle.settings_map']"
    )
