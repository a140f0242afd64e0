"""The README example, the policy files' limits and the documented log lines match the code."""

import re
import tomllib
from pathlib import Path

from yardspindle import interface as i

ROOT = Path(__file__).parent.parent


def test_readme_example_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code is not None
    exec(compile(code.group(1), "README.md", "exec"), {})


def test_policy_files_keep_their_limits() -> None:
    files = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    texts = [(ROOT / file).read_text().splitlines() for file in files]
    assert max(len(lines) for lines in texts) <= 400  # the operators lifted the limit on the total
    assert max(len(line) for lines in texts for line in lines) <= 110
    assert {ROOT / file for file in files} == set((ROOT / "yardspindle/policy").glob("*.py"))
    assert "yardspindle/interface.py" in texts[0][0]


def test_on_call_names_the_log_lines_that_exist() -> None:
    page = (ROOT / "docs/on-call.md").read_text()
    code = "\n".join(file.read_text() for file in (ROOT / "yardspindle/policy").glob("*.py"))
    assert 'f"ejected {server.entry.server}: {why}"' in code and 'f"giving up requests: {why}"' in code
    statuses = {i.Status.CONNECT_FAILED.value, i.Status.RESET.value}
    statuses |= set(re.findall(r'self\._eject\(server, "(\w+)"\)', code))
    given_up = set(re.findall(r'self\._end\(request, "(\w+)"\)', code))
    assert set(re.findall(r"`ejected N: (.*?)`", page)) == statuses
    assert set(re.findall(r"`giving up requests: (.*?)`", page)) == given_up
