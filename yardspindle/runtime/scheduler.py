"""Tasks on greenlets: spawn, park and wake, cancel, deadlines, channels. Knows no socket and no real clock.

One hub greenlet runs the loop: ready tasks in the order they were woken, then timers that are due, then the
`Poller`, which waits for the outside until the next timer. A real poller waits in `select.poll`; a virtual one
moves its clock. An error that ends a task goes to whoever joins it, else to the crash hook: it is never lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Generic, Protocol, TypeVar

import greenlet

from yardspindle.runtime.timers import TimerHandle, Timers

T = TypeVar("T")


class Cancelled(BaseException):
    """Raised in a task that was cancelled, where it next waits."""


class DeadlineExceeded(Exception):
    """Raised in a task whose deadline passed, where it next waits."""


class Closed(Exception):
    """The channel or stream was closed."""


class Poller(Protocol):
    """The outside world, as the loop sees it."""

    def now_us(self) -> int:
        """Clock, microseconds."""

    def wait(self, until_us: int | None) -> None:
        """Wait for the outside, at most until then (None: without end; at or before now: only look)."""

    def idle(self) -> bool:
        """Whether nothing outside is waited for."""


class Gate:
    """Holds up the tasks behind it while it is shut: several programs on one scheduler, of which one stalls."""

    __slots__ = ("shut", "held")

    def __init__(self) -> None:
        """Open."""
        self.shut = False
        self.held: list[tuple[Task, Any, BaseException | None]] = []


class Task:
    """A function that runs in a greenlet of its own."""

    __slots__ = (
        "name",
        "_scheduler",
        "_greenlet",
        "parked",
        "interrupts",
        "done",
        "result",
        "error",
        "_joiners",
        "_observed",
        "gate",
    )

    def __init__(self, scheduler: Scheduler, name: str, run: Callable[[], Any]) -> None:
        """Made by `Scheduler.spawn`."""
        self.name = name
        self._scheduler = scheduler
        self.parked = False
        self.interrupts: deque[BaseException] = deque()
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self._joiners: list[Task] = []
        self._observed = False
        self.gate: Gate | None = None

        def body(_value: object = None) -> None:
            try:
                if self.interrupts:
                    raise self.interrupts.popleft()
                self.result = run()
            except (Cancelled, greenlet.GreenletExit):
                pass
            except BaseException as error:
                self.error = error
            scheduler._ended(self)

        self._greenlet = greenlet.greenlet(body, scheduler.hub)

    def cancel(self) -> None:
        """Raise `Cancelled` in the task where it waits; no effect on one that has ended."""
        self._scheduler.interrupt(self, Cancelled())

    def join(self) -> Any:
        """Wait for the task's end; give its result or raise its error."""
        self._observed = True
        while not self.done:
            self._joiners.append(self._scheduler.current)
            try:
                self._scheduler.park()
            finally:
                if self._scheduler.current in self._joiners:
                    self._joiners.remove(self._scheduler.current)
        if self.error is not None:
            raise self.error
        return self.result


class Deadline:
    """Context manager: raises `DeadlineExceeded` inside once the clock passes `at_us`."""

    __slots__ = ("_scheduler", "_at_us", "_timer", "_task", "_error")

    def __init__(self, scheduler: Scheduler, at_us: int) -> None:
        """Made by `Scheduler.deadline`."""
        self._scheduler = scheduler
        self._at_us = at_us
        self._timer: TimerHandle | None = None
        self._error = DeadlineExceeded()

    def __enter__(self) -> Deadline:
        """Start to watch the clock."""
        self._task = self._scheduler.current
        self._timer = self._scheduler.timers.set(self._at_us, self._fire)
        return self

    def _fire(self) -> None:
        self._scheduler.interrupt(self._task, self._error)

    @property
    def passed(self) -> bool:
        """Whether this deadline is what raised."""
        return self._error.__traceback__ is not None

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop watching; a deadline that fired but was not raised yet is forgotten."""
        if self._timer is not None:
            self._timer.cancel()
        if self._error in self._task.interrupts:
            self._task.interrupts.remove(self._error)


class Scheduler:
    """The loop and its tasks."""

    def __init__(self, poller: Poller) -> None:
        """Run on a poller; nothing runs before `run`."""
        self.poller = poller
        self.timers = Timers()
        self.hub = greenlet.greenlet(self._loop)
        self.tasks: dict[Task, None] = {}
        self._ready: deque[tuple[Task, Any, BaseException | None]] = deque()
        self._current: Task | None = None
        self.on_crash: Callable[[Task, BaseException], None] = _raise_crash
        self.switches = 0

    @property
    def current(self) -> Task:
        """The task that runs."""
        assert self._current is not None, "called outside any task"
        return self._current

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Start a task; it first runs when the caller next waits."""
        task = Task(self, name, lambda: function(*args))
        self.tasks[task] = None
        self._ready.append((task, None, None))
        return task

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a task and all it spawns on this thread; when it ends, cancel what is left and wait for that."""
        self.hub = greenlet.greenlet(self._loop, greenlet.getcurrent())
        main = self.spawn(name, function, *args)
        main._observed = True
        self._main = main
        self.hub.switch()
        if main.error is not None:
            raise main.error
        result: T = main.result
        return result

    def park(self) -> Any:
        """Wait until `wake` or `interrupt`; give the value that came with the wake."""
        self.raise_interrupt()
        self.current.parked = True
        return self.hub.switch()

    def wake(self, task: Task, value: Any = None) -> None:
        """Let a parked task go on; no effect on one that is not parked."""
        if task.parked:
            task.parked = False
            self._ready.append((task, value, None))

    def interrupt(self, task: Task, error: BaseException) -> None:
        """Raise an error in a task where it waits, or where it next will."""
        if task.done:
            return
        if task.parked:
            task.parked = False
            self._ready.append((task, None, error))
        else:
            task.interrupts.append(error)

    def raise_interrupt(self) -> None:
        """Raise what came for the running task after it was woken: asked before what can't be undone."""
        if self.current.interrupts:
            raise self.current.interrupts.popleft()

    def open_gate(self, gate: Gate) -> None:
        """Let what was held up run, in the order in which it was woken."""
        gate.shut = False
        self._ready.extend(gate.held)
        gate.held.clear()

    def yield_now(self) -> None:
        """Let every other ready task run first."""
        self.raise_interrupt()
        self._ready.append((self.current, None, None))
        self.hub.switch()

    def sleep_until(self, at_us: int) -> None:
        """Wait until the clock reaches a time."""
        task = self.current
        timer = self.timers.set(at_us, lambda: self.wake(task))
        try:
            self.park()
        finally:
            timer.cancel()

    def deadline(self, at_us: int) -> Deadline:
        """Bound the time of a `with` block."""
        return Deadline(self, at_us)

    def channel(self, capacity: int) -> Channel[Any]:
        """A bounded queue between tasks."""
        return Channel(self, capacity)

    def _ended(self, task: Task) -> None:
        task.done = True
        self.tasks.pop(task, None)
        for joiner in task._joiners:
            self.wake(joiner)
        if task.error is not None and not task._observed:
            self.on_crash(task, task.error)

    def _loop(self) -> None:
        stopping = False
        while True:
            for _ in range(len(self._ready)):
                task, value, error = self._ready.popleft()
                if task.gate is not None and task.gate.shut:
                    task.gate.held.append((task, value, error))
                    continue
                self._current = task
                self.switches += 1
                if error is None:
                    task._greenlet.switch(value)
                else:
                    task._greenlet.throw(error)
                self._current = None
            if self._main.done and not stopping:
                stopping = True
                for task in list(self.tasks):
                    if task.gate is not None:
                        self.open_gate(task.gate)
                    task.cancel()
            if not self.tasks:
                return
            for callback in self.timers.pop_due(self.poller.now_us()):
                callback()
            if self._ready:
                self.poller.wait(0)
                continue
            due = self.timers.next_due_us()
            if due is None and self.poller.idle():
                raise RuntimeError("deadlock: nothing can wake " + ", ".join(t.name for t in self.tasks))
            self.poller.wait(due)


class Channel(Generic[T]):
    """A bounded first-in first-out queue; `put` waits while it is full, `get` while it is empty."""

    def __init__(self, scheduler: Scheduler, capacity: int) -> None:
        """Made by `Scheduler.channel`."""
        if capacity < 1:
            raise ValueError(f"capacity: {capacity} is under 1")
        self._scheduler = scheduler
        self._capacity = capacity
        self._items: deque[T] = deque()
        self._getters: deque[Task] = deque()
        self._putters: deque[Task] = deque()
        self.closed = False

    def __len__(self) -> int:
        """Items that wait."""
        return len(self._items)

    def try_put(self, item: T) -> bool:
        """Put without waiting; False when full. Raises Closed."""
        if self.closed:
            raise Closed
        if len(self._items) >= self._capacity:
            return False
        self._items.append(item)
        self._wake_first(self._getters)
        return True

    def put(self, item: T) -> None:
        """Put, waiting for room. Raises Closed."""
        while not self.try_put(item):
            self._wait(self._putters)

    def get(self) -> T:
        """Take the oldest item, waiting for one. Raises Closed once it is closed and empty."""
        while not self._items:
            if self.closed:
                raise Closed
            self._wait(self._getters)
        item = self._items.popleft()
        self._wake_first(self._putters)
        return item

    def drain(self) -> list[T]:
        """Take all that waits, without waiting."""
        items = list(self._items)
        self._items.clear()
        for _ in range(len(self._putters)):
            self._wake_first(self._putters)
        return items

    def close(self) -> None:
        """No more comes in; what waits can still be taken."""
        self.closed = True
        for queue in (self._getters, self._putters):
            while queue:
                self._wake_first(queue)

    def _wait(self, queue: deque[Task]) -> None:
        task = self._scheduler.current
        queue.append(task)
        try:
            self._scheduler.park()
        finally:
            if task in queue:
                queue.remove(task)

    def _wake_first(self, queue: deque[Task]) -> None:
        while queue:
            task = queue.popleft()
            if task.parked:
                self._scheduler.wake(task)
                return


class Signal:
    """Set once; tasks wait for it."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Start unset."""
        self._scheduler = scheduler
        self._waiting: list[Task] = []
        self.is_set = False

    def set(self) -> None:
        """Let all that wait, now and later, go on."""
        self.is_set = True
        for task in self._waiting:
            self._scheduler.wake(task)

    def wait(self) -> None:
        """Wait until it is set."""
        while not self.is_set:
            task = self._scheduler.current
            self._waiting.append(task)
            try:
                self._scheduler.park()
            finally:
                self._waiting.remove(task)


def _raise_crash(task: Task, error: BaseException) -> None:
    raise RuntimeError(f"task {task.name} ended with an error that nobody waited for") from error
