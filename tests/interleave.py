"""All interleavings of a few threads of control: depth first, each schedule played from its start on a fresh
world, no clock and no chance in it.

A thread of control is a list of labelled steps, or a generator that yields where another may go on: the
label of what it will do next, or a `Wait`. What lies before its first yield must have no effect. A schedule
is a text with a line for each step, `thread:label`.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Any

from greenlet import getcurrent, greenlet  # type: ignore[import-untyped]

from harrieryoke.core.actor import Actor

MAX_STEPS = 500  # steps; a schedule that goes on for longer is taken for one without an end


@dataclass
class Wait:
    """A point from which a thread goes on only while `condition` holds. One that is `idle` may stand there
    for ever; any other that does is in a deadlock."""

    condition: Callable[[], object]
    label: str | Callable[[], str]
    idle: bool = False


Thread = Iterator[str | Wait] | list[tuple[str, Callable[[], object]]]


class World:
    """What the threads of one schedule share. Further threads may join while it is played."""

    threads: dict[str, Thread]

    def check(self) -> None:
        """Holds after each step."""

    def final(self) -> None:
        """Holds once no thread can go on."""

    def key(self) -> Hashable:
        """All of the state that what comes can depend on, and all that is still to be checked; where the
        threads stand is known without it. None: no two states are taken for the same."""
        return None


def shape(*state: object) -> str:
    """For `World.key`: its `repr`, where objects without one of their own are alike."""
    return re.sub(r" at 0x[0-9a-f]+", "", repr(state))


class Failed(AssertionError):
    """Some schedule breaks the world: of all that do, this has the fewest preemptions, and of those the
    fewest steps."""

    def __init__(self, failure: str, schedule: str) -> None:
        super().__init__(f"{failure}\nin this schedule:\n{schedule}")
        self.failure, self.schedule = failure, schedule


@dataclass
class Counts:
    """`schedules` were played, to their end or to a state that was known; `states` differ; `whole`: neither
    the bound on preemptions nor the one on schedules left anything out."""

    schedules: int = 0
    states: int = 0
    complete: bool = True


class ThreadState:
    """A thread as it is played."""

    def __init__(self, thread: Thread) -> None:
        self.points = self.run_steps(thread) if isinstance(thread, list) else thread
        self.steps_taken = 0  # in a list, how many of its steps have been taken
        self.advance()

    def run_steps(self, steps: list[tuple[str, Callable[[], object]]]) -> Iterator[str]:
        for label, step in steps:
            yield label
            step()
            self.steps_taken += 1

    def advance(self) -> None:
        self.position: str | Wait | None = next(self.points, None)

    def label(self) -> str | None:
        """Of its next step; None where it can't go on."""
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
        self.ready: dict[str, str] = {}  # threads that can go on, and the label of the step
        self.last_thread, self.preemptions = "", 0
        self.failure: str | None = None
        self.run_step(lambda: None)
        for line in lines:
            self.advance(line)

    def run_step(self, step: Callable[[], object]) -> None:
        """Whatever escapes from a step or from what is checked behind it is the schedule's failure."""
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
        """1 for a preemption: another goes on although the last one could."""
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
        """None where the world has none. With a bound, what may come also depends on who went last."""
        if (key := self.world.key()) is None:
            return None
        places = tuple(
            (name, strand.steps_taken, self.ready.get(name)) for name, strand in self.thread_states.items()
        )
        return key, places, self.last_thread if bounded else ""


def replay(make: Callable[[], World], schedule: str) -> str | None:
    """The failure of that schedule, the same each time."""
    return Run(make, schedule.splitlines()).failure


def explore(
    make: Callable[[], World], preemptions: int | None = None, max_schedules: int = 200_000
) -> Counts:
    """Plays all schedules, or those with at most so many preemptions. Raises `Failed` if one breaks the
    world."""
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
    """Ends with the first schedule that fails, or with the shortest one."""
    counts, found = Counts(), None
    seen: dict[Hashable, tuple[int, int]] = {}  # states, and with how many preemptions and steps they came
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


# --- the real code as threads of control ---


def fiber(run: Callable[[], object]) -> Iterator[str | Wait]:
    """Real code as a thread of control: another may go on at each `pause`, however deep in its calls."""
    inside = greenlet(run)
    while True:
        point = inside.switch()
        if inside.dead:
            return
        yield point


def pause(point: str | Wait) -> None:
    """Within a `fiber`: where the real code would wait."""
    getcurrent().parent.switch(point)


class PausingMailbox(deque[Any]):
    """A mailbox with a point before each message. `hand` is the message that is being received."""

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
    """An actor's own `run`, `work`, `receive` and `finish`: one message a step, with the points that the code
    it calls may add. It can go on when its mailbox is not empty or when the time it waits for has come. The
    module takes all that has come in one step, as it does in its rounds."""
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
