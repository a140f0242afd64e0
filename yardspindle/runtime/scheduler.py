"""Cooperative scheduler on greenlets: tasks, cancellation, deadlines and channels, independent of sockets and clocks.

A hub greenlet runs the event loop: first the ready tasks, in the order in which they were woken, then the timers that
are due, then the `Poller`, which waits for external events until the next timer. The real poller waits in
`select.poll`; a simulation's advances its clock. An error that ends a task is raised in the tasks that join it, or
passed to the crash hook if there are none, so it is never lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Generic, Protocol, TypeVar

import greenlet

from yardspindle.runtime.timers import TimerHandle, Timers, raise_error, run_callbacks

T = TypeVar("T")


class Cancelled(BaseException):
    """Raised in a cancelled task at the point where it waits or next waits."""


class DeadlineExceeded(Exception):
    """Raised in a task whose deadline passed, at the point where it waits or next waits."""


class Closed(Exception):
    """The channel, listener or message socket was closed."""


class Poller(Protocol):
    """Source of time and of external events for the event loop."""

    def now_us(self) -> int:
        """Return the time in microseconds."""

    def wait(self, until_us: int | None) -> None:
        """Wait for external events until a time at most; None waits indefinitely, a past time polls without waiting."""

    def idle(self) -> bool:
        """Return whether no task waits for an external event."""


class Gate:
    """Suspends the tasks of one program while it is shut, to simulate a stalled program on a shared scheduler."""

    __slots__ = ("shut", "held")

    def __init__(self) -> None:
        """Start open."""
        self.shut = False
        self.held: list[tuple[Task, Any, BaseException | None]] = []


class Task:
    """A function that runs in its own greenlet."""

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
        "_joined",
        "gate",
    )

    def __init__(self, scheduler: Scheduler, name: str, run: Callable[[], Any]) -> None:
        """Create a task; called by `Scheduler.spawn`."""
        self.name = name
        self._scheduler = scheduler
        self.parked = False
        self.interrupts: deque[BaseException] = deque()
        self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self._joiners: list[Task] = []
        self._joined = False  # if so, its error is raised in the joiner, not passed to the crash hook
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
        """Raise `Cancelled` in the task where it waits or next waits; no effect if it has ended."""
        self._scheduler.interrupt(self, Cancelled())

    def join(self) -> Any:
        """Wait until the task ends; return its result or raise its error."""
        self._joined = True
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
    """Context manager that raises `DeadlineExceeded` in its block once the clock reaches `at_us`."""

    __slots__ = ("_scheduler", "_at_us", "_timer", "_task", "_error", "_passed")

    def __init__(self, scheduler: Scheduler, at_us: int) -> None:
        """Create a deadline; called by `Scheduler.deadline`."""
        self._scheduler, self._at_us = scheduler, at_us
        self._timer: TimerHandle | None = None
        self._error, self._passed = DeadlineExceeded(), False

    def __enter__(self) -> Deadline:
        """Set the timer."""
        self._task = self._scheduler.current
        self._timer = self._scheduler.timers.set(self._at_us, self._fire)
        return self

    def _fire(self) -> None:
        self._scheduler.interrupt(self._task, self._error)

    @property
    def passed(self) -> bool:
        """Whether this deadline, as opposed to an enclosing one, raised its error in the block."""
        return self._passed  # known once the block has ended

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Cancel the timer. Discard the error, raised or not: its traceback holds frames that hold this deadline."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._error in self._task.interrupts:
            self._task.interrupts.remove(self._error)
        self._passed, self._error = self._error.__traceback__ is not None, DeadlineExceeded()


class Scheduler:
    """The event loop and its tasks."""

    def __init__(self, poller: Poller) -> None:
        """Create a scheduler on a poller; tasks start to run in `run`."""
        self.poller = poller
        self.timers = Timers()
        self.hub = greenlet.greenlet(self._loop)
        self.tasks: dict[Task, None] = {}
        self._ready: deque[tuple[Task, Any, BaseException | None]] = deque()
        self._current: Task | None = None
        self.on_crash: Callable[[Task, BaseException], None] = _raise_crash
        self.on_timer_error: Callable[[Exception], None] = raise_error
        self.switches = 0

    @property
    def current(self) -> Task:
        """The running task."""
        assert self._current is not None, "called outside any task"
        return self._current

    def spawn(self, name: str, function: Callable[..., Any], *args: Any) -> Task:
        """Create a task; it starts to run when the caller next waits."""
        task = Task(self, name, lambda: function(*args))
        self.tasks[task] = None
        self._ready.append((task, None, None))
        return task

    def run(self, name: str, function: Callable[..., T], *args: Any) -> T:
        """Run a task and those it spawns on this thread; when it ends, cancel the others and wait for their end."""
        self.hub = greenlet.greenlet(self._loop, greenlet.getcurrent())
        main = self.spawn(name, function, *args)
        main._joined = True
        self._main = main
        self.hub.switch()
        if main.error is not None:
            raise main.error
        result: T = main.result
        return result

    def park(self) -> Any:
        """Suspend the running task until `wake` or `interrupt`; return the value passed to `wake`."""
        self.raise_interrupt()
        self.current.parked = True
        return self.hub.switch()

    def wake(self, task: Task, value: Any = None) -> None:
        """Make a parked task ready to run; no effect if it is not parked."""
        if task.parked:
            task.parked = False
            self._ready.append((task, value, None))

    def interrupt(self, task: Task, error: BaseException) -> None:
        """Raise an error in a task where it waits or next waits; no effect if it has ended."""
        if task.done:
            return
        if task.parked:
            task.parked = False
            self._ready.append((task, None, error))
        else:
            task.interrupts.append(error)

    def raise_interrupt(self) -> None:
        """Raise an interrupt that arrived after the running task was woken; call this before an irreversible step."""
        if self.current.interrupts:
            raise self.current.interrupts.popleft()

    def open_gate(self, gate: Gate) -> None:
        """Open a gate and make the suspended tasks ready, in the order in which they were woken."""
        gate.shut = False
        self._ready.extend(gate.held)
        gate.held.clear()

    def yield_now(self) -> None:
        """Let all other ready tasks run first."""
        self.raise_interrupt()
        self._ready.append((self.current, None, None))
        self.hub.switch()

    def sleep_until(self, at_us: int) -> None:
        """Park the running task until the clock reaches a time."""
        task = self.current
        timer = self.timers.set(at_us, lambda: self.wake(task))
        try:
            self.park()
        finally:
            timer.cancel()

    def deadline(self, at_us: int) -> Deadline:
        """Return a context manager that limits the time of its block."""
        return Deadline(self, at_us)

    def channel(self, capacity: int) -> Channel[Any]:
        """Create a bounded queue between tasks."""
        return Channel(self, capacity)

    def _ended(self, task: Task) -> None:
        task.done = True
        self.tasks.pop(task, None)
        for joiner in task._joiners:
            self.wake(joiner)
        if task.error is not None and not task._joined:
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
                if task.done:
                    del task._greenlet  # it refers to the task: together they would stay in memory
            if self._main.done and not stopping:
                stopping = True
                for task in list(self.tasks):
                    if task.gate is not None:
                        self.open_gate(task.gate)
                    task.cancel()
            if not self.tasks:
                return
            run_callbacks(self.timers.pop_due(self.poller.now_us()), self.on_timer_error)
            if self._ready:
                self.poller.wait(0)
                continue
            due = self.timers.next_due_us()
            if due is None and self.poller.idle():
                raise RuntimeError(
                    "deadlock: no timer or event can wake " + ", ".join(task.name for task in self.tasks)
                )
            self.poller.wait(due)


class Channel(Generic[T]):
    """A bounded FIFO queue; `put` waits while it is full, `get` while it is empty."""

    def __init__(self, scheduler: Scheduler, capacity: int) -> None:
        """Create a channel; called by `Scheduler.channel`."""
        if capacity < 1:
            raise ValueError(f"capacity: {capacity} is under 1")
        self._scheduler = scheduler
        self._capacity = capacity
        self._items: deque[T] = deque()
        self._getters: deque[Task] = deque()
        self._putters: deque[Task] = deque()
        self.closed = False

    def __len__(self) -> int:
        """Number of queued items."""
        return len(self._items)

    def try_put(self, item: T) -> bool:
        """Add an item without waiting; return False if the channel is full. Raises Closed."""
        if self.closed:
            raise Closed
        if len(self._items) >= self._capacity:
            return False
        self._items.append(item)
        self._wake_first(self._getters)
        return True

    def put(self, item: T) -> None:
        """Add an item, waiting while the channel is full. Raises Closed."""
        while not self.try_put(item):
            self._wait(self._putters)

    def get(self) -> T:
        """Remove and return the oldest item, waiting for one. Raises Closed once the channel is closed and empty."""
        while not self._items:
            if self.closed:
                raise Closed
            self._wait(self._getters)
        item = self._items.popleft()
        self._wake_first(self._putters)
        return item

    def drain(self) -> list[T]:
        """Remove and return all queued items without waiting."""
        items, self._items = list(self._items), deque()
        for _ in range(len(self._putters)):
            self._wake_first(self._putters)
        return items

    def close(self) -> None:
        """Reject further items; items already queued can still be read."""
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
    """A flag that is set once and that tasks can wait for."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Start unset."""
        self._scheduler = scheduler
        self._waiting: list[Task] = []
        self.is_set = False

    def set(self) -> None:
        """Set the flag and wake the waiting tasks; later calls of `wait` return without waiting."""
        self.is_set = True
        for task in self._waiting:
            self._scheduler.wake(task)

    def wait(self) -> None:
        """Wait until the flag is set."""
        while not self.is_set:
            task = self._scheduler.current
            self._waiting.append(task)
            try:
                self._scheduler.park()
            finally:
                self._waiting.remove(task)


def _raise_crash(task: Task, error: BaseException) -> None:
    raise RuntimeError(f"task {task.name} failed and no task had joined it") from error
