"""The links of one model host as a state machine, and what is known of each attempt on them.

    link:     dialling -> up <-> suspect -> closed          attempt:  unsent -> begun -> whole -> answered
                  |        \\-> draining ---^                            ^         |
                  +-> closed                                            +---------+ its link ended: see
                  `ended`

An attempt is placed on one link. While nothing of it was written its link's end is nothing to it: the pool
places it on another path of the same host. From the first byte on it is never placed again here. Partly
written, it has not run: a host acts on whole frames alone, and the frame's end never left. Whole, it may have
run. Both are outcomes for the module, which alone decides on what is sent again.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

from .endpoints import Book, Endpoint
from .race import Race


class Up(Enum):
    DIALLING = "dialling"
    UP = "up"
    SUSPECT = "suspect"  # it owes an answer for too long: nothing new goes there
    DRAINING = "draining"  # it ends once nothing is open on it


class Written(Enum):
    UNSENT = 0
    BEGUN = 1
    WHOLE = 2


class Fate(Enum):
    """What becomes of an attempt whose link ended."""

    AGAIN = "again"  # nothing was written: the pool places it anew
    NOT_RUN = "not run"  # partly written
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True)
class Budget:
    """Of all hosts together: descriptors, and new connections a second. One second deep."""

    descriptors: int
    dials_per_s: float
    held: int = 0
    peak: int = 0
    left: float = 0.0
    at: float | None = None

    def take(self, now: float) -> bool:
        """For one more dial; given back by `give` when its descriptor is closed."""
        passed = self.dials_per_s * 1000 if self.at is None else max(0.0, now - self.at)
        self.left = min(self.dials_per_s, self.left + self.dials_per_s * passed / 1000)
        self.at = now
        if self.left < 1 or self.held >= self.descriptors:
            return False
        self.left -= 1
        self.held += 1
        self.peak = max(self.peak, self.held)
        return True

    def give(self) -> None:
        self.held -= 1


@dataclass(slots=True, eq=False)
class Link:
    """One connection, from the dial to its close. It holds one descriptor."""

    number: int
    endpoint: Endpoint
    since: float
    state: Up = Up.DIALLING
    open: dict[Hashable, Written] = field(default_factory=dict)
    owed: float | None = None  # since when an answer is owed and nothing has come
    used: float = 0.0
    reserve: bool = False  # it lost a race, and is kept for a while


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times are milliseconds."""

    links: int = 4  # of the host, those under way included
    streams: int = 100  # open attempts of a link
    queue: int = 1024  # new attempts that wait for a link; those of ended links may come on top
    dial_ms: float = 250.0  # of a whole race
    delay_ms: float = 50.0  # until the next endpoint is dialled beside the one before
    silent_ms: float = 700.0
    idle_ms: float = 24_000.0
    reserve_ms: float = 2000.0


@dataclass(slots=True)
class Pool:
    """Of one host. Whoever does the I/O asks `steps` what to dial and close, `place` where an attempt goes,
    and tells what happened. Nothing goes to a host that drains, has gone or was replaced, whatever is
    queued."""

    budget: Budget
    bounds: Bounds = field(default_factory=Bounds)
    book: Book = field(default_factory=Book)
    links: dict[int, Link] = field(default_factory=dict)
    where: dict[Hashable, Link] = field(default_factory=dict)  # attempts that have a link
    queue: deque[Hashable] = field(default_factory=deque)  # and those that wait for one
    race: Race | None = None
    takes: bool = True
    serial: int = 0
    counts: Counter[str] = field(default_factory=Counter)

    # --- the list ---

    def set(self, endpoints: tuple[Endpoint, ...]) -> list[Link]:
        """The host's endpoints now. Links to those that are gone take nothing new; under way, they are
        closed."""
        gone = self.book.set(endpoints)
        if self.race is not None and gone.intersection(self.race.order):
            self.race = None  # what of it is under way ends as a loser, or is one of the gone
        return [link for link in list(self.links.values()) if link.endpoint in gone and self.retire(link)]

    def stop(self) -> list[Hashable]:
        """It drains, has gone, or its address is another's: what waits is given back, unsent."""
        self.takes, self.race = False, None
        waiting = list(self.queue)
        self.queue.clear()
        return waiting

    def retire(self, link: Link) -> bool:
        """Whether it can be closed at once."""
        if link.state is Up.DIALLING or not link.open:
            return True
        link.state = Up.DRAINING
        return False

    # --- attempts ---

    def place(self, attempt: Hashable, now: float) -> Link | None:
        """The link on which it goes now; None where it waits for one. Raises OverflowError at the bound, and
        ValueError where nothing may go to the host any more."""
        if not self.takes:
            raise ValueError("nothing may go there")
        if attempt in self.where:
            raise ValueError("it has a link")
        link = self.link_for(now)
        if link is None:
            if len(self.queue) >= self.bounds.queue:
                raise OverflowError("too many wait for a link")
            self.queue.append(attempt)
            return None
        link.open[attempt], self.where[attempt] = Written.UNSENT, link
        return link

    def link_for(self, now: float) -> Link | None:
        """The one that was used last of those that have room."""
        self.suspect(now)
        up = (link for link in self.links.values() if link.state is Up.UP)
        fit = [link for link in up if len(link.open) < self.bounds.streams]
        return max(fit, key=lambda link: (link.used, link.number)) if fit else None

    def suspect(self, now: float) -> None:
        for link in self.links.values():
            if link.state is Up.UP and link.owed is not None and now - link.owed > self.bounds.silent_ms:
                link.state = Up.SUSPECT
                if (health := self.book.known.get(link.endpoint)) is not None:
                    health.failed(now)

    def may_write(self, attempt: Hashable) -> bool:
        """To be asked at the last moment before the first byte."""
        link = self.where.get(attempt)
        up = self.takes and link is not None and link.state is Up.UP
        return up and link is not None and link.open[attempt] is Written.UNSENT

    def wrote(self, attempt: Hashable, how: Written, now: float) -> None:
        link = self.where[attempt]
        if how.value < link.open[attempt].value:
            raise ValueError("what was written can't be unwritten")
        link.open[attempt], link.used = how, now
        if link.owed is None:
            link.owed = now

    def answered(self, attempt: Hashable, number: int, now: float) -> bool:
        """An answer came on link `number`. Whether it counts: only on the attempt's own link, and once. In
        either case it proves that the link lives."""
        link = self.links.get(number)
        if link is None:
            self.counts["late"] += 1
            return False
        link.used = now
        if link.state is Up.SUSPECT:
            link.state = Up.UP
        if (health := self.book.known.get(link.endpoint)) is not None:
            health.failures, health.good_at = 0, now
        counts = self.where.get(attempt) is link and link.open[attempt] is Written.WHOLE
        if counts:
            self.drop(attempt)
        link.owed = now if any(w is not Written.UNSENT for w in link.open.values()) else None
        return counts

    def drop(self, attempt: Hashable) -> Link | None:
        """It is over: answered, revoked, timed out. The link that it was on."""
        link = self.where.pop(attempt, None)
        if link is not None:
            del link.open[attempt]
        elif attempt in self.queue:
            self.queue.remove(attempt)
        return link

    # --- links ---

    def steps(self, now: float) -> tuple[list[Link], list[Link]]:
        """What to dial, and what to close, now."""
        self.suspect(now)
        close = [link for link in self.links.values() if self.finished(link, now)]
        dial: list[Link] = []
        if self.race is not None and self.race.expired(now):
            self.race = None
        if self.race is None and self.wants():
            self.race = Race(self.book.order(now), now, self.bounds.delay_ms, now + self.bounds.dial_ms)
        while self.race is not None and len(self.links) < self.bounds.links:
            # the budget first: an endpoint that is taken from the race must be dialled
            if not self.budget.take(now):
                self.counts["no-budget"] += 1
                break
            endpoint = self.race.to_dial(now)
            if endpoint is None:
                self.budget.give()
                self.budget.left += 1
                break
            self.serial += 1
            link = self.links[self.serial] = Link(self.serial, endpoint, now, used=now)
            dial.append(link)
            self.counts["dials"] += 1
        return dial, close

    def wants(self) -> bool:
        room = len(self.links) < self.bounds.links
        return self.takes and room and bool(self.queue) and bool(self.book.known)

    def finished(self, link: Link, now: float) -> bool:
        b = self.bounds
        if link.state is Up.DIALLING:
            return not 0 <= now - link.since < b.dial_ms or (self.race is None and not self.queue)
        if link.state is Up.SUSPECT:
            return link.owed is None or now - link.owed > 3 * b.silent_ms
        if link.open:
            return False
        idle = b.reserve_ms if link.reserve else b.idle_ms
        return link.state is Up.DRAINING or not self.takes or not 0 <= now - link.used < idle

    def stood(self, number: int, now: float) -> list[tuple[Hashable, Link]]:
        """A dial has become a connection; the attempts that go on it. One that lost its race is kept in
        reserve."""
        link = self.links[number]
        link.state, link.used = Up.UP, now
        if (health := self.book.known.get(link.endpoint)) is not None:
            health.dialled(now, max(0.0, now - link.since))
        else:
            link.state = Up.DRAINING  # its endpoint left the list meanwhile
            return []
        if self.race is not None and self.race.stood(link.endpoint, now):
            self.race = None
        else:
            link.reserve = True
        return self.pump(now)

    def pump(self, now: float) -> list[tuple[Hashable, Link]]:
        """Attempts that waited and have a link now."""
        placed: list[tuple[Hashable, Link]] = []
        while self.takes and self.queue and (link := self.link_for(now)) is not None:
            attempt = self.queue.popleft()
            link.open[attempt], self.where[attempt] = Written.UNSENT, link
            link.reserve = False
            placed.append((attempt, link))
        return placed

    def ended(self, number: int, now: float) -> list[tuple[Hashable, Fate]]:
        """The link has closed, by whichever side: its descriptor is free, and each attempt on it has its
        fate. Those that go again wait in the queue, ahead of the rest."""
        link = self.links.pop(number, None)
        if link is None:
            return []
        self.budget.give()
        if link.state is Up.DIALLING or link.open:
            if (health := self.book.known.get(link.endpoint)) is not None:
                health.failed(now)
            if self.race is not None:
                self.race.failed(link.endpoint, now)
                self.race = None if self.race.over else self.race
        fates: list[tuple[Hashable, Fate]] = []
        again: list[Hashable] = []
        for attempt, written in link.open.items():
            del self.where[attempt]
            if written is Written.UNSENT and self.takes:
                again.append(attempt)
                fates.append((attempt, Fate.AGAIN))
            else:
                fates.append((attempt, Fate.MAY_HAVE_RUN if written is Written.WHOLE else Fate.NOT_RUN))
        self.queue.extendleft(reversed(again))
        return fates

    def no_path(self) -> list[Hashable]:
        """A race was lost and no link stands: what waits fails as not connected, all of it at once."""
        if self.race is not None or any(link.state is not Up.DIALLING for link in self.links.values()):
            return []
        if any(link.state is Up.DIALLING for link in self.links.values()):
            return []
        waiting = list(self.queue)
        self.queue.clear()
        return waiting
