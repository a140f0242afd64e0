"""Configuration, server list, token estimate, intake, answers, releases, planning, link frames."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardspindle import interface as i
from yardspindle.core import config as cfg
from yardspindle.core.hosts.directory import Server
from yardspindle.core.hosts.server_list import ServerList, parse_server_list
from yardspindle.core.request.answer import AnswerTracker, CollectedAnswer, http_error
from yardspindle.core.request.commands import Answer, Final
from yardspindle.core.request.estimate import TokenEstimate
from yardspindle.core.request.intake import Intake, IntakeError, RequestFields
from yardspindle.core.request.planning import PlanningSession
from yardspindle.core.request.retry_safety import classify_error
from yardspindle.link import frames

DEFAULT = cfg.parse("f", b"")
ENGINE = Server(1, "s1", "h", 1, i.Role.WRITE, i.State.SERVING, places=True)


# --- configuration


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("colour = 1", "c.toml: colour: unknown key"),
        ("[edge]\nlisten = 3", "c.toml: edge.listen: expected `str`, got `int`"),
        ("[edge]\nlisten = 'localhost:80'", "c.toml: edge.listen: expected `str` matching regex"),
        ("[edge]\nlisten = '127.0.0.1:70000'", "c.toml: edge.listen: not an address"),
        ("[edge]\nlisten = '127.0.0.999:70'", "c.toml: edge.listen: not an address"),
        ("[rules]\nrelease_ms = 0", "c.toml: rules.release_ms: expected `float` > 0"),
        ("[rules]\nanswer_slack_ms = 90", "c.toml: rules.answer_slack_ms: not under answer_margin_ms (80)"),
        ("[[classes]]\neffect = 'safe'", "c.toml: classes[0].name: missing"),
        ("[[classes]]\nname = 'a'\neffect = 'mild'", "c.toml: classes[0].effect: invalid enum value 'mild'"),
        ("[[classes]]\nname = 'a'\n[[classes]]\nname = 'a'", "c.toml: classes: a comes twice"),
        ("[[classes]]\nname = 'a'\naim_ms = 9\ngive_up_ms = 8", "c.toml: classes.a.aim_ms: over give_up_ms (8)"),
        ("[[classes]]\nname = 'a'\naim_ms = 9\ngive_up_ms = 90", "c.toml: classes.a.give_up_ms: not over twice"),
        ("classes = []", "c.toml: classes: empty"),
        (
            "[[kinds]]\nname = 'a'\nrole = 'read'",
            "c.toml: kinds: needs one with role read and one with role write, or one with role both",
        ),
        ("[edge]\nnumber = 1", "c.toml: edge.number: not under edge.dispatchers (1)"),
        ("[edge]\ndefault_class = 'x'", "c.toml: edge.default_class: no such class: x"),
        (
            "[[tenants]]\nname = 'a'\nkeys = ['12345678']\n[[tenants]]\nname = 'b'\nkeys = ['12345678']",
            "c.toml: tenants: a key comes twice",
        ),
        ("a = ", "c.toml: not TOML"),
        ("\udcff", "c.toml: byte 0: not UTF-8"),
    ],
)
def test_a_fault_is_one_line_with_file_key_and_reason(text: str, message: str) -> None:
    with pytest.raises(cfg.ConfigError) as caught:
        cfg.parse("c.toml", text.encode("utf-8", "surrogateescape"))
    assert str(caught.value).startswith(message) and "\n" not in str(caught.value)


def test_settings_reach_the_policy_and_the_interlocks_in_microseconds() -> None:
    config = cfg.parse("c", b"[rules]\nrelease_ms = 250.5\n[[classes]]\nname = 'o'\neffect = 'unsafe'\naim_ms = 100")
    policy = cfg.policy_settings(config, 0, 3, "z")
    assert (policy.release_us, policy.instances, policy.classes[0].effect) == (250_500, 3, i.Effect.UNSAFE)
    assert cfg.edge_rules(config).effects == {"o": i.Effect.UNSAFE}
    assert cfg.settings_hash(config) != cfg.settings_hash(DEFAULT)
    assert cfg.settings_hash(cfg.parse("c", b"[log]\nlevel = 'debug'")) == cfg.settings_hash(DEFAULT)


# --- server list


def list_document(*rows: str, count: int | None = None) -> bytes:
    return "\n".join(
        [f"count = {len(rows) if count is None else count}", *(f"[[servers]]\n{row}" for row in rows)]
    ).encode()


A = "name = 'a'\naddress = '127.0.0.1:1'\nkind = 'reader'"
B = "name = 'b'\naddress = '127.0.0.1:2'\nkind = 'writer'"


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (list_document(A, count=2), "s.toml: count: says 2, the list holds 1"),
        (list_document(A, A), "s.toml: servers.name: a comes twice"),
        (list_document(A, B.replace(":2", ":1")), "s.toml: servers.address: 127.0.0.1:1 comes twice"),
        (list_document(A + "\nunits = 0", B + "\nunits = 0.0"), "s.toml: servers.units: every one is zero"),
        (list_document(A.replace("reader", "gpu")), "s.toml: servers.a.kind: not configured: gpu"),
        (list_document(A.replace(":1'", ":0'")), "s.toml: servers.a.address: no such port: 0"),
        (list_document(A + "\nstate = 'ill'"), "s.toml: servers[0].state: invalid enum value 'ill'"),
        (list_document(A)[9:], "s.toml: count: missing"),
    ],
)
def test_a_list_is_refused_whole(data: bytes, message: str) -> None:
    with pytest.raises(cfg.ConfigError) as caught:
        parse_server_list("s.toml", data, DEFAULT)
    assert str(caught.value).startswith(message)


def test_no_cut_of_a_list_is_taken_for_the_list() -> None:
    data = list_document(A, B, A.replace("'a'", "'c'").replace(":1'", ":3'"))
    complete = parse_server_list("s", data, DEFAULT)
    for end in range(len(data)):
        try:
            document = parse_server_list("s", data[:end], DEFAULT)
        except cfg.ConfigError:
            continue
        assert len(document.servers) == document.count == len(complete.servers)


def test_numbers_stay_with_their_names() -> None:
    server_list = ServerList(DEFAULT)
    assert server_list.apply(parse_server_list("s", list_document(A, B), DEFAULT))
    assert not server_list.apply(parse_server_list("s", list_document(A, B), DEFAULT))
    first = {server.name: server.number for server in server_list.addresses()}
    server_list.apply(parse_server_list("s", list_document(B), DEFAULT))
    server_list.apply(parse_server_list("s", list_document(B, A + "\nup_since_ms = 5.0"), DEFAULT))
    assert {server.name: server.number for server in server_list.addresses()} == first
    entries = {entry.server: entry for entry in server_list.members(100).entries}
    assert (entries[first["a"]].up_since_us, entries[first["b"]].up_since_us) == (5_100, 0)


# --- estimate and intake


@settings(max_examples=100, deadline=None)
@given(st.floats(0.05, 2.0), st.lists(st.integers(200, 50_000), min_size=60, max_size=80))
def test_the_estimate_comes_to_what_engines_count(per_byte: float, sizes: list[int]) -> None:
    estimate = TokenEstimate()
    for size in sizes:
        estimate.learn("k", size, max(1, round(size * per_byte)))
    if sum(sizes) > 800_000:
        assert estimate.tokens("k", 10_000) == pytest.approx(10_000 * per_byte, rel=0.15)


def test_kinds_differ_and_impossible_reports_are_passed_over() -> None:
    estimate = TokenEstimate()
    for _ in range(100):
        estimate.learn("dense", 10_000, 8_000)
        estimate.learn("plain", 10_000, 2_000)
    assert estimate.tokens("dense", 1_000) > 3 * estimate.tokens("plain", 1_000)
    before = estimate.tokens("plain", 1_000)
    for tokens, size in ((0, 100), (-5, 100), (10**9, 100), (5, 0)):
        estimate.learn("plain", size, tokens)
    assert estimate.tokens("plain", 1_000) == before
    for number in range(10_000):
        estimate.learn(f"k{number}", 100, 25)
    assert len(estimate._kinds) <= 4_096


def fields(**more: Any) -> RequestFields:
    return RequestFields(
        **{"tenant": "t", "prefix_parts": (b"x" * 2_000,), "first_message": b"hi", "size": 2_002, **more}
    )


def test_what_clients_name_wins_and_is_kept_apart_by_tenant() -> None:
    intake = Intake(DEFAULT)
    plain = intake.accept(0, 1, fields()).request
    assert (plain.cls, plain.tenant, plain.prefix is not None) == ("chat", "t", True)
    assert intake.accept(0, 2, fields(first_message=b"other")).request.prefix == plain.prefix
    assert intake.accept(0, 2, fields(first_message=b"other")).request.session != plain.session
    assert intake.accept(0, 3, fields(tenant="u")).request.prefix == plain.prefix, "the same prefix has the same state"
    mine = intake.accept(0, 4, fields(shared_prefix="k", session="s", cls="order", max_out=7)).request
    theirs = intake.accept(0, 5, fields(tenant="u", shared_prefix="k", session="s")).request
    assert (mine.cls, mine.max_out) == ("order", 7.0)
    assert mine.prefix != theirs.prefix and mine.session != theirs.session
    assert intake.accept(0, 6, fields(prefix_parts=(b"short",), size=7)).request.prefix is None
    split = fields(prefix_parts=(b"x" * 1_000, b"x" * 1_000))
    assert intake.accept(0, 7, split).request.prefix != plain.prefix


def test_sizes_are_whole_tokens_so_that_sums_leave_nothing_over() -> None:
    intake = Intake(DEFAULT)
    intake.estimate.learn("t chat", 30_000, 10_007)
    for size in range(2_001, 2_040):
        request = intake.accept(0, 1, fields(size=size)).request
        assert request.prompt_tokens.is_integer() and request.prefix_tokens.is_integer()


def test_deadlines_only_ever_get_earlier() -> None:
    intake = Intake(DEFAULT)
    margin = 80_000
    assert intake.accept(5, 1, fields()).request.expires_us == 5 + 7_500_000 - margin
    assert intake.accept(0, 2, fields(timeout_ms=1_000.0)).request.expires_us == 1_000_000 - margin
    assert intake.accept(0, 3, fields(client_timeout_ms=600_000.0)).request.expires_us == 7_500_000 - margin
    assert intake.accept(0, 4, fields(timeout_ms=2.0)).request.expires_us == 1


@pytest.mark.parametrize(
    ("more", "param"),
    [
        ({"cls": "nope"}, "metadata.class"),
        ({"timeout_ms": 0.0}, "timeout_ms"),
        ({"timeout_ms": float("nan")}, "timeout_ms"),
        ({"session": "s" * 600}, "metadata.session"),
        ({"client_timeout_ms": -1.0}, "x-stainless-read-timeout"),
    ],
)
def test_bad_fields_are_named(more: dict[str, Any], param: str) -> None:
    with pytest.raises(IntakeError) as caught:
        Intake(DEFAULT).accept(0, 1, fields(**more))
    assert caught.value.param == param


# --- answers


def chunk(delta: dict[str, Any] | None = None, finish: str | None = None, index: int = 0, **more: Any) -> bytes:
    choices = [{"index": index, "delta": delta or {}, "finish_reason": finish}] if delta is not None or finish else []
    base = {"id": "c1", "object": "chat.completion.chunk", "model": "m", "choices": choices}
    return json.dumps({**base, **more}).encode()


USAGE = {"prompt_tokens": 9, "completion_tokens": 2, "prompt_tokens_details": {"cached_tokens": 4}}


def test_an_answer_is_whole_with_a_finish_and_done_alone() -> None:
    state = AnswerTracker(usage_wanted=False)
    assert state.forward(chunk({"content": "a"})) and state.forward(chunk({}, "stop"))
    assert not state.forward(chunk(usage=USAGE)), "the client did not ask for it"
    assert not state.complete and not state.forward(b"[DONE]") and state.complete
    assert state.counts is not None and (state.counts.prompt, state.counts.completion, state.counts.cached) == (9, 2, 4)
    assert not state.forward(chunk({"content": "after"}))
    with_usage = AnswerTracker(usage_wanted=True)
    assert with_usage.forward(chunk(usage=USAGE))
    truncated = AnswerTracker(False)
    truncated.forward(chunk({"content": "a"}))
    truncated.forward(b"[DONE]")
    assert truncated.done and not truncated.complete, "no finish reason arrived"
    error = AnswerTracker(False)
    error.forward(chunk({}, "stop"))
    assert not error.forward(b'{"error": {"message": "x"}}') and error.error and not error.complete


def test_text_that_talks_of_usage_passes_unchanged() -> None:
    state = AnswerTracker(False)
    assert state.forward(chunk({"content": '"usage": {"prompt_tokens": 5}'}))
    assert state.counts is None


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.text(max_size=8)), min_size=1, max_size=20))
def test_collected_text_is_the_streamed_text(drawn: list[tuple[int, str]]) -> None:
    collected = CollectedAnswer()
    for index, text in drawn:
        collected.add(chunk({"role": "assistant", "content": text}, index=index))
    for index in {index for index, _ in drawn}:
        collected.add(chunk({}, "stop", index))
    body = json.loads(collected.body())
    assert body["object"] == "chat.completion"
    for choice in body["choices"]:
        text = "".join(t for n, t in drawn if n == choice["index"])
        assert choice["message"] == {"role": "assistant", "content": text} and choice["finish_reason"] == "stop"


def test_tool_calls_and_unknown_fields_are_put_together() -> None:
    collected = CollectedAnswer()
    for part in (
        {"index": 0, "id": "t1", "type": "function", "function": {"name": "f", "arguments": ""}},
        {"index": 0, "function": {"arguments": '{"a"'}},
        {"index": 0, "function": {"arguments": ":1}"}},
        {"index": 1, "id": "t2", "type": "function", "function": {"name": "g", "arguments": "{}"}},
    ):
        collected.add(chunk({"tool_calls": [part]}))
    collected.add(chunk({"reasoning_content": "be"}, novel={"x": 1}))
    collected.add(chunk({"reasoning_content": "cause"}, "tool_calls", usage=USAGE))
    body = json.loads(collected.body())
    message = body["choices"][0]["message"]
    assert [call["function"] for call in message["tool_calls"]] == [
        {"name": "f", "arguments": '{"a":1}'},
        {"name": "g", "arguments": "{}"},
    ]
    assert message["reasoning_content"] == "because" and message["content"] is None
    assert body["novel"] == {"x": 1} and body["usage"] == USAGE


def test_finals_have_their_status_and_say_whether_to_retry() -> None:
    refused = http_error(Answer(1, Final.REFUSED, "overloaded", 1_500_000), unsafe=True)
    assert refused.status == 503
    assert dict(refused.headers) == {b"retry-after": b"2", b"retry-after-ms": b"1500", b"x-should-retry": b"true"}
    failed = http_error(Answer(1, Final.FAILED, "may_have_run"), unsafe=True)
    assert failed.status == 502 and dict(failed.headers) == {b"x-should-retry": b"false"}
    assert http_error(Answer(1, Final.FAILED, "deadline"), unsafe=False).headers == ()


@pytest.mark.parametrize(
    ("status", "code", "expected"),
    [
        (503, "engine_full", (i.Status.FULL, 0)),
        (429, "engine_draining", (i.Status.FULL, 0)),
        (503, None, (i.Status.ERROR, 0)),
        (500, "engine_full", (i.Status.ERROR, 0)),
        (409, "no_state", (i.Status.FULL, 1)),
        (400, "bad", (i.Status.ERROR, 0)),
    ],
)
def test_only_known_words_of_an_engine_prove_that_nothing_ran(status: int, code: str | None, expected: object) -> None:
    assert classify_error(status, code) == expected


# --- planning


def test_timers_fire_on_the_edges_clock_and_a_fault_fails_one_request() -> None:
    calls: list[tuple[i.Event, int]] = []

    def policy(event: i.Event, now: int) -> list[i.Action]:
        calls.append((event, now))
        if isinstance(event, i.Request):
            if event.cls == "bad":
                raise ZeroDivisionError("x")
            return [i.SetTimer(now + 500, 9), i.Send(event.request, 1)]
        return []

    session = PlanningSession(policy, edge_now_us=1_000_000, now_us=400)
    reply = session.handle_events(1_000_100, [i.Request(1, "a", 5, 1.0), i.Request(2, "bad", 5, 1.0)])
    assert reply.actions == [i.Send(1, 1), i.Fail(2)] and len(reply.errors) == 1
    assert session.next_due_us() == 1_000 and not session.tick(999).actions and len(calls) == 2
    session.tick(1_000)
    assert calls[-1] == (i.Timer(9), 1_000_600)
    session.handle_events(1_000_000, [i.Hangup(1)])
    assert calls[-1][1] == 1_000_600, "time never decreases"


# --- link

any_events = st.one_of(
    st.builds(
        i.Request,
        st.integers(0, 2**32),
        st.text(max_size=5),
        st.integers(0, 2**60),
        st.floats(0, 1e9),
        tenant=st.none() | st.text(max_size=3),
        prefix=st.none() | st.text(max_size=3),
    ),
    st.builds(i.First, *[st.integers(0, 2**40)] * 4),
    st.builds(i.Hangup, st.integers(0, 99)),
    st.builds(i.Note, *[st.integers(0, 99)] * 3, held=st.booleans()),
    st.builds(
        i.Outcome,
        *[st.integers(0, 99)] * 3,
        status=st.sampled_from([*i.Status]),
        latency_us=st.integers(0, 9),
        closed=st.booleans(),
        note=st.integers(0, 9),
    ),
)
any_actions = st.one_of(
    st.builds(i.Send, *[st.integers(0, 99)] * 3),
    st.builds(i.Ahead, *[st.integers(0, 99)] * 2),
    st.builds(i.Refuse, *[st.integers(0, 99)] * 2),
    st.builds(i.Discard, st.integers(0, 99)),
    st.builds(i.Fail, st.integers(0, 99)),
    st.builds(i.Cancel, *[st.integers(0, 99)] * 2),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(any_events, max_size=6), st.lists(any_actions, max_size=6), st.lists(st.integers(0, 900), max_size=5))
def test_frames_arrive_as_sent_however_cut(events: list[i.Event], actions: list[i.Action], cuts: list[int]) -> None:
    sent: list[frames.Frame] = [
        frames.Hello(1, 0, 1, "z", 5, "h"),
        frames.Servers(3, [ENGINE]),
        frames.Events(1, 9, [frames.to_wire(event) for event in events]),
        frames.Actions(1, [frames.to_wire(action) for action in actions]),
    ]
    data = b"".join(frames.encode(frame) for frame in sent)
    points = sorted({point % (len(data) + 1) for point in cuts})
    reader = frames.FrameReader()
    got = [frame for a, b in zip([0, *points], [*points, len(data)], strict=True) for frame in reader.feed(data[a:b])]
    assert isinstance(got[1], frames.Servers) and got[1].servers == [ENGINE]
    assert isinstance(got[2], frames.Events) and [frames.from_wire(event) for event in got[2].events] == events
    assert isinstance(got[3], frames.Actions) and [frames.from_wire(action) for action in got[3].actions] == actions


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\0\0\0\1\xc1",
        b"\0\0\0\2\x91\xa0",
        frames.encode(frames.Bye("x")).replace(b"Bye", b"Hi!"),
        (2).to_bytes(4) + b"\x92\x01",
    ],
)
def test_what_is_no_frame_ends_the_link(data: bytes) -> None:
    with pytest.raises(frames.LinkError):
        frames.FrameReader().feed(data)
