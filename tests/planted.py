"""Planted faults: realistic bugs in cores, link, clients and request life cycles, enabled one at a time.

`python -m tests.planted [--seeds N] [--jobs J] [NAME ...]` runs seeds in order for each fault until one detects it, and
prints the number of seeds and the violation. A fault that a second layer would mask is planted in both layers, like a
bug in code that they share; the table in `docs/design/virtual-clock.md` lists these.
"""

from __future__ import annotations

import gc
import multiprocessing
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import click
import msgspec
import structlog

from yardspindle import interface as i
from yardspindle.api import exchange
from yardspindle.core.hosts import server_list
from yardspindle.core.hosts.directory import Directory
from yardspindle.core.hosts.server_list import ServerList
from yardspindle.core.request import commands as c
from yardspindle.core.request import lifecycle
from yardspindle.core.request.edge_core import EdgeCore
from yardspindle.core.request.engine_releases import ReleaseQueues
from yardspindle.core.request.intake import Intake
from yardspindle.core.request.lifecycle import Lifecycle
from yardspindle.core.request.planning import PlanningSession
from yardspindle.core.request.records import RequestRecord
from yardspindle.edge.app import Edge
from yardspindle.edge.executor import Executor
from yardspindle.edge.planner_link import PlannerLink
from yardspindle.engine import http_client, vllm
from yardspindle.fleet import server_list_file as file_source
from yardspindle.lab.script import draw_script
from yardspindle.lab.traffic_simulation import run_script
from yardspindle.link import frames
from yardspindle.protocol.sse import SseParser
from yardspindle.runtime import scheduler

PLANTED: dict[str, Callable[[], None]] = {}


def plant(function: Callable[[], None]) -> Callable[[], None]:
    PLANTED[function.__name__] = function
    return function


def swap(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace a method or function with the result of `make` for the original."""
    setattr(owner, name, make(getattr(owner, name)))


@plant
def state_release_forgotten() -> None:
    def forget(self: Lifecycle, record: RequestRecord) -> None:
        record.state, record.state_server = None, None

    swap(Lifecycle, "_release_state", lambda _: forget)


@plant
def place_release_forgotten() -> None:
    def forget(self: Lifecycle, record: RequestRecord) -> None:
        record.place = None

    swap(Lifecycle, "_release_place", lambda _: forget)


@plant
def place_of_an_unconfirmed_write_forgotten() -> None:
    swap(Lifecycle, "_unconfirmed_write", lambda _: lambda self, *more: None)


@plant
def state_of_a_failed_read_forgotten() -> None:
    def make(real: Any) -> Any:
        def ended(self: Any, now: int, request: int, number: int, status: i.Status, *more: Any, **named: Any) -> Any:
            commands = real(self, now, request, number, status, *more, **named)
            if status is i.Status.READ:
                return commands
            return [row for row in commands if not isinstance(row, c.ReleaseState)]

        return ended

    swap(Lifecycle, "attempt_ended", make)


@plant
def state_of_an_aborted_read_forgotten() -> None:
    def make(real: Any) -> Any:
        def abort(self: Lifecycle, now: int, record: RequestRecord, *more: Any) -> None:
            real(self, now, record, *more)
            self._commands = [row for row in self._commands if not isinstance(row, c.ReleaseState)]

        return abort

    swap(Lifecycle, "_abort", make)


@plant
def unanswered_place_forgotten() -> None:
    def make(real: Any) -> Any:
        def answered(self: Any, now: int, request: int, number: int, server: Any, held: bool | None) -> Any:
            return real(self, now, request, number, server, bool(held))

        return answered

    swap(EdgeCore, "place_answered", make)


@plant
def late_place_answer_forgotten() -> None:
    def make(real: Any) -> Any:
        def answered(self: EdgeCore, now: int, request: int, number: int, server: Any, held: bool | None) -> Any:
            if request not in self.lifecycle.requests:
                return []
            return real(self, now, request, number, server, held)

        return answered

    swap(EdgeCore, "place_answered", make)


@plant
def refusal_crosses_with_the_stream() -> None:
    def answer(self: Lifecycle, now: int, record: RequestRecord, final: c.Final, code: str, retry: int = 0) -> None:
        if record.final is None:
            self._final(record, final, code, retry)
            self._settle(now, record)

    swap(Lifecycle, "_answer", lambda _: answer)

    def tick(self: Lifecycle, now: int) -> list[c.Command]:
        for record in list(self.requests.values()):
            if record.final is None and now >= record.request.expires_us + self.rules.answer_slack_us:
                answer(self, now, record, c.Final.FAILED, "deadline")
        return self._take_commands()

    swap(Lifecycle, "tick", lambda _: tick)


@plant
def unsafe_refused_though_it_may_have_run() -> None:
    swap(lifecycle, "harmless_to_repeat", lambda _: lambda effect, ran: True)


def _change_outcome(change: Callable[[Any, Any], Any]) -> None:
    """Change the outcome of every attempt before the executor handles it."""
    swap(
        Executor,
        "_attempt_ended",
        lambda real: lambda self, run, command, ended: real(self, run, command, change(run, ended)),
    )


@plant
def reset_taken_for_not_connected() -> None:
    _change_outcome(
        lambda run, ended: (
            replace(ended, status=i.Status.CONNECT_FAILED)
            if ended.status is i.Status.RESET and not run.first_us
            else ended
        )
    )


@plant
def cut_stream_taken_for_whole() -> None:
    _change_outcome(
        lambda run, ended: (
            replace(ended, status=i.Status.SERVED) if ended.status is i.Status.RESET and run.first_us else ended
        )
    )


@plant
def draining_lost_from_the_list() -> None:
    def make(real: Any) -> Any:
        def apply(self: ServerList, document: server_list.ListDocument) -> Any:
            rows = tuple(msgspec.structs.replace(row, state="serving") for row in document.servers)
            return real(self, msgspec.structs.replace(document, servers=rows))

        return apply

    swap(ServerList, "apply", make)


@plant
def gone_servers_kept_open() -> None:
    def make(real: Any) -> Any:
        def apply(self: ServerList, document: server_list.ListDocument) -> Any:
            listed = {row.name for row in document.servers}
            kept = tuple(row for row in self.servers if row.name not in listed)
            return real(self, msgspec.structs.replace(document, servers=(*document.servers, *kept)))

        return apply

    swap(ServerList, "apply", make)


@plant
def start_times_lost_from_the_list() -> None:
    def make(real: Any) -> Any:
        def apply(self: ServerList, document: server_list.ListDocument) -> Any:
            rows = tuple(msgspec.structs.replace(row, up_since_ms=0.0) for row in document.servers)
            return real(self, msgspec.structs.replace(document, servers=rows))

        return apply

    swap(ServerList, "apply", make)


@plant
def edge_clock_taken_for_the_planners() -> None:
    def make(real: Any) -> Any:
        def init(self: PlanningSession, handle: Any, edge_now: int, planner_now: int) -> None:
            real(self, handle, planner_now, planner_now)

        return init

    swap(PlanningSession, "__init__", make)


@plant
def unconfirmed_release_given_up() -> None:
    swap(ReleaseQueues, "settled", lambda real: lambda self, now, release, confirmed: real(self, now, release, True))


@plant
def unconfirmed_releases_leak_slots() -> None:
    def make(real: Any) -> Any:
        def settled(self: ReleaseQueues, now: int, release: Any, confirmed: bool) -> None:
            real(self, now, release, confirmed)
            if not confirmed:
                self._queues[(release.server.host, release.server.port)].in_flight += 1

        return settled

    swap(ReleaseQueues, "settled", make)


@plant
def event_cut_between_reads_lost() -> None:
    def make(real: Any) -> Any:
        def feed(self: SseParser, data: bytes) -> Any:
            whole = data[: data.rfind(b"\n\n") + 2] if b"\n\n" in data else b""
            return real(self, whole)

        return feed

    swap(SseParser, "feed", make)


@plant
def frame_cut_between_reads_lost() -> None:
    def make(real: Any) -> Any:
        def feed(self: frames.FrameReader, data: bytes) -> Any:
            got = real(self, data)
            self._buffer.clear()
            return got

        return feed

    swap(frames.FrameReader, "feed", make)


@plant
def deadline_later_than_the_client_said() -> None:
    def make(real: Any) -> Any:
        def accept(self: Intake, now: int, number: int, fields: Any) -> Any:
            accepted = real(self, now, number, fields)
            return replace(
                accepted, request=replace(accepted.request, expires_us=accepted.request.expires_us + 600_000)
            )

        return accept

    swap(Intake, "accept", make)


@plant
def connection_kept_after_half_a_response() -> None:
    swap(http_client.Response, "close", lambda _: lambda self: self.client.put_idle(self.key, self.connection))


@plant
def requests_stay_open_without_a_planner() -> None:
    def down(self: Lifecycle, now: int) -> list[c.Command]:
        self.epoch = 0
        return self._take_commands()

    swap(Lifecycle, "planner_down", lambda _: down)


@plant
def stale_epoch_believed() -> None:
    """Requests of an earlier planner stay open under the next one, which does not know them."""

    def up(self: Lifecycle, now: int, epoch: int) -> list[c.Command]:
        self.epoch = epoch
        self.directory = Directory()
        for record in self.requests.values():
            record.epoch = epoch
        return self._take_commands()

    swap(Lifecycle, "planner_up", lambda _: up)

    def down(self: Lifecycle, now: int) -> list[c.Command]:
        self.epoch = 0
        return self._take_commands()

    swap(Lifecycle, "planner_down", lambda _: down)


@plant
def call_off_does_not_stop_the_attempt() -> None:
    def make(real: Any) -> Any:
        def perform(self: Executor, commands: list[c.Command]) -> None:
            real(self, [row for row in commands if not isinstance(row, c.Abort)])

        return perform

    swap(Executor, "perform", make)


@plant
def hang_up_not_noticed() -> None:
    swap(Edge, "_client_disconnected", lambda _: lambda self, run: None)


@plant
def deadline_timer_not_cancelled() -> None:
    swap(scheduler.Deadline, "__exit__", lambda _: lambda self, *error: None)


@plant
def connection_not_closed_after_its_client() -> None:
    swap(exchange.Exchange, "client_disconnected", lambda _: lambda self: setattr(self, "disconnected", True))


@plant
def events_of_the_last_link_sent_on_the_next() -> None:
    def make(real: Any) -> Any:
        def session(self: PlannerLink, stream: Any) -> Any:
            kept = list(self._pending_events)
            result = real(self, stream)
            self._pending_events[:0] = kept
            return result

        return session

    swap(PlannerLink, "_run_session", make)


@plant
def ids_the_same_after_a_restart() -> None:
    def make(real: Any) -> Any:
        def init(self: Edge, world: Any, config: Any) -> None:
            real(self, world, config)
            self.instance_id = f"{config.edge.number:012x}"
            self.executor._engines = vllm.EngineClient(self.http_client, self.instance_id)

        return init

    swap(Edge, "__init__", make)


@plant
def bad_list_taken_in_part() -> None:
    def parse(real: Any, file: str, data: bytes, config: Any) -> Any:
        text = data.decode(errors="ignore")
        rows = text.split("[[servers]]")
        rows = rows if text.endswith("\n") else rows[:-1]  # the last row is incomplete
        good = rows[:1]
        for row in rows[1:]:
            if "places = " in row:
                good.append(row)
        good[0] = f"count = {len(good) - 1}\n"
        return real(file, "[[servers]]".join(good).encode(), config)

    swap(file_source, "parse_server_list", lambda real: lambda file, data, config: parse(real, file, data, config))


def find(name: str, seeds: int) -> tuple[str, int, str]:
    """Run seeds with one fault planted; returns its name, the seeds until detection (-1: none) and the violation."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))  # critical events only
    gc.disable()  # collected between runs, as in lab/seeds.py
    PLANTED[name]()
    for seed in range(seeds):
        try:
            outcome = run_script(draw_script(seed))
        except Exception as error:
            return name, seed + 1, f"the run itself failed: {type(error).__name__}: {error}"
        if outcome.breaks:
            return name, seed + 1, outcome.breaks[0]
        if seed % 20 == 0:
            gc.collect()
    return name, -1, ""


def _find(job: tuple[str, int]) -> tuple[str, int, str]:
    return find(*job)


@click.command()
@click.option("--seeds", default=10_000, help="Maximum number of seeds per fault.")
@click.option("--jobs", default=multiprocessing.cpu_count())
@click.argument("names", nargs=-1)
def main(seeds: int, jobs: int, names: tuple[str, ...]) -> None:
    """Check that each planted fault is detected."""
    wanted = [(name, seeds) for name in names or PLANTED]
    with multiprocessing.get_context("spawn").Pool(jobs, maxtasksperchild=1) as pool:  # one process per fault
        for name, found, what in pool.imap_unordered(_find, wanted):
            click.echo(f"{name:45} {'not found' if found < 0 else f'{found:5} seeds'}  {what[:150]}")


if __name__ == "__main__":
    main()
