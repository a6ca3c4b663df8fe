"""Explores all interleavings of a few threads of control, depth first and deterministically.

Each schedule is played from its start on a fresh world. A thread of control is a list of labelled steps, or a
generator that yields where another thread may continue: the label of its next step, or a `Wait`. What
precedes its first yield must have no effect. A schedule is a text with a line for each step, `thread:label`.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Any

from greenlet import getcurrent, greenlet  # type: ignore[import-untyped]

from harrieryoke.core.actor import Actor

MAX_STEPS = 500  # longer schedules are taken as endless


@dataclass
class Wait:
    """A point where a thread continues only while `condition` holds.

    An `idle` thread may wait there forever; any other that does is in a deadlock.
    """

    condition: Callable[[], object]
    label: str | Callable[[], str]
    idle: bool = False


Thread = Iterator[str | Wait] | list[tuple[str, Callable[[], object]]]


class World:
    """The state shared by the threads of one schedule. Threads may join while it is played."""

    threads: dict[str, Thread]

    def check(self) -> None:
        """Check invariants; called after each step."""

    def final(self) -> None:
        """Check the final state; called once no thread can continue."""

    def key(self) -> Hashable:
        """Return all state that later steps and checks depend on, without the positions of the threads.

        With None no two states are taken as equal.
        """
        return None


def shape(*state: object) -> str:
    """Return the state's `repr` for `World.key`; objects with a default repr are taken as equal."""
    return re.sub(r" at 0x[0-9a-f]+", "", repr(state))


class Failed(AssertionError):
    """A schedule that breaks the world, with the fewest preemptions, and among those the fewest steps."""

    def __init__(self, failure: str, schedule: str) -> None:
        super().__init__(f"{failure}\nin this schedule:\n{schedule}")
        self.failure, self.schedule = failure, schedule


@dataclass
class Counts:
    """Schedules played to their end or to a known state, and distinct states.

    `complete`: neither the bound on preemptions nor that on schedules left anything out.
    """

    schedules: int = 0
    states: int = 0
    complete: bool = True


class ThreadState:
    """The progress of a thread."""

    def __init__(self, thread: Thread) -> None:
        self.points = self.run_steps(thread) if isinstance(thread, list) else thread
        self.steps_taken = 0  # of a list
        self.advance()

    def run_steps(self, steps: list[tuple[str, Callable[[], object]]]) -> Iterator[str]:
        for label, step in steps:
            yield label
            step()
            self.steps_taken += 1

    def advance(self) -> None:
        self.position: str | Wait | None = next(self.points, None)

    def label(self) -> str | None:
        """Return the label of the next step, or None if the thread can't continue."""
        if not isinstance(self.position, Wait):
            return self.position
        if not self.position.condition():
            return None
        return self.position.label if isinstance(self.position.label, str) else self.position.label()


class Run:
    """One schedule on a world of its own."""

    def __init__(self, make: Callable[[], World], lines: list[str]) -> None:
        self.world = make()
        self.thread_states: dict[str, ThreadState] = {}
        self.schedule: list[str] = []
        self.ready: dict[str, str] = {}  # threads that can continue, and the labels of their next steps
        self.last_thread, self.preemptions = "", 0
        self.failure: str | None = None
        self.run_step(lambda: None)
        for line in lines:
            self.advance(line)

    def run_step(self, step: Callable[[], object]) -> None:
        """Run a step and the checks; any exception is the schedule's failure."""
        try:
            step()
            for name in list(self.world.threads)[len(self.thread_states) :]:
                self.thread_states[name] = ThreadState(self.world.threads[name])
            labels = {name: strand.label() for name, strand in self.thread_states.items()}
            self.ready = {name: label for name, label in labels.items() if label is not None}
            self.check()
        except Exception as error:
            self.failure = f"{type(error).__name__}: {str(error).partition(chr(10))[0]}"

    def check(self) -> None:
        self.world.check()
        if len(self.schedule) >= MAX_STEPS:
            raise AssertionError(f"no end after {MAX_STEPS} steps")
        if not self.ready:
            blocked = [
                n
                for n, s in self.thread_states.items()
                if isinstance(s.position, Wait) and not s.position.idle
            ]
            if blocked:
                raise AssertionError(f"deadlock of {', '.join(blocked)}")
            self.world.final()

    def preemption_cost(self, name: str) -> int:
        """Return 1 for a preemption: the last thread could continue, but another one does."""
        return int(name != self.last_thread and self.last_thread in self.ready)

    def advance(self, line: str) -> None:
        name, _, label = line.partition(":")
        if self.ready.get(name) != label:
            raise ValueError(f"after {self.schedule} only {self.ready} can go, not {line}")
        self.preemptions += self.preemption_cost(name)
        self.last_thread = name
        self.schedule.append(line)
        self.run_step(self.thread_states[name].advance)

    def key(self, bounded: bool) -> Hashable:
        """Return the state's key, or None if the world has none.

        With a bound, later steps also depend on the last thread.
        """
        if (key := self.world.key()) is None:
            return None
        places = tuple(
            (name, strand.steps_taken, self.ready.get(name)) for name, strand in self.thread_states.items()
        )
        return key, places, self.last_thread if bounded else ""


def replay(make: Callable[[], World], schedule: str) -> str | None:
    """Play a schedule again and return its failure."""
    return Run(make, schedule.splitlines()).failure


def explore(
    make: Callable[[], World], preemptions: int | None = None, max_schedules: int = 200_000
) -> Counts:
    """Play all schedules, or those within a bound of preemptions. Raises `Failed` if one breaks the world."""
    counts, found = search(make, preemptions, max_schedules)
    if found is None:
        return counts
    for bound in range(found.preemptions + 1):
        shortest = search(make, bound, max_schedules, shortest=True)[1]
        if shortest is not None:
            found = shortest
            break
    raise Failed(str(found.failure), "\n".join(found.schedule))


def search(
    make: Callable[[], World], bound: int | None, max_schedules: int, shortest: bool = False
) -> tuple[Counts, Run | None]:
    """Search until the first schedule that fails, or for the shortest one."""
    counts, found = Counts(), None
    seen: dict[
        Hashable, tuple[int, int]
    ] = {}  # for each state, the preemptions and steps with which it was reached
    stack: list[list[str]] = [[]]
    while stack and (shortest or found is None):
        if counts.schedules == max_schedules:
            counts.complete = False
            break
        counts.schedules += 1
        run = Run(make, stack.pop())
        while run.failure is None and (found is None or len(run.schedule) + 1 < len(found.schedule)):
            if (key := run.key(bound is not None)) is not None:
                cost = run.preemptions if bound is not None else 0, len(run.schedule) if shortest else 0
                earlier = seen.get(key)
                if earlier is not None and earlier[0] <= cost[0] and earlier[1] <= cost[1]:
                    break
                seen[key] = cost
                counts.states += earlier is None
            else:
                counts.states += 1
            names = sorted(run.ready, key=lambda name: name != run.last_thread)
            allowed = [n for n in names if bound is None or run.preemptions + run.preemption_cost(n) <= bound]
            counts.complete = counts.complete and len(allowed) == len(names)
            if not allowed:
                break
            steps = [f"{name}:{run.ready[name]}" for name in allowed]
            stack += [[*run.schedule, step] for step in reversed(steps[1:])]
            run.advance(steps[0])
        if run.failure is not None and (found is None or len(run.schedule) < len(found.schedule)):
            found = run
    return counts, found


# --- real code as threads of control ---


def fiber(run: Callable[[], object]) -> Iterator[str | Wait]:
    """Run real code as a thread of control; others may continue at each `pause`, at any depth of calls."""
    inside = greenlet(run)
    while True:
        point = inside.switch()
        if inside.dead:
            return
        yield point


def pause(point: str | Wait) -> None:
    """Let other threads continue; called within a `fiber` where the real code would wait."""
    getcurrent().parent.switch(point)


class PausingMailbox(deque[Any]):
    """A mailbox with a `pause` before each message. `current` is the message being handled."""

    current: Any = None
    woken = False

    def popleft(self) -> Any:
        if not self.woken:
            pause(self.label())
        self.woken, self.current = False, super().popleft()
        return self.current

    def label(self) -> str:
        return type(self[0]).__name__ if self else "time"


def actor_thread(actor: Actor, clock: Callable[[], float]) -> Iterator[str | Wait]:
    """Run an actor's own `run`, `process_mailbox` and `receive` with one message per step, with the pauses of
    the code it calls.

    It can continue when its mailbox is not empty or when its timeout has passed. The module takes all
    messages in one step, as it does in its rounds.
    """
    mailbox = PausingMailbox(actor.mailbox)

    def wait(timeout_ms: float | None = None) -> None:
        if not mailbox:
            mailbox.current = None
            until = float("inf") if timeout_ms is None else clock() + timeout_ms
            pause(Wait(lambda: mailbox or clock() >= until, mailbox.label, idle=True))
            mailbox.woken = True

    def live() -> None:
        actor.run()
        actor.finish()

    actor.mailbox = mailbox
    actor.wait_for_message = wait  # type: ignore[method-assign]
    return fiber(live)
