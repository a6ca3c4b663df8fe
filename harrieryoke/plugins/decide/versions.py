"""The life of a plug-in's versions: loaded, tried beside the one in service, in service, watched, retired."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SwapLimits:
    """How a new version is tried: `trial` copies of calls or `trial_ms`, whichever comes first, then watched
    for as many. It may fail by `margin` more than the old one, as a share of its calls."""

    trial: int = 20
    trial_ms: float = 2000.0
    watch: int = 50
    watch_ms: float = 5000.0
    margin: float = 0.1
    linger_ms: float = 30_000.0  # that a retired version waits for the outcomes of its calls


@dataclass(slots=True)
class Tally:
    """What became of a version's calls."""

    calls: int = 0
    faults: int = 0

    def rate(self) -> float:
        return self.faults / self.calls if self.calls else 0.0


@dataclass(slots=True)
class Version:
    number: int
    text: str  # as the manifest words it
    stage: str = "loading"  # loading, trial, serving, watched, previous, retired, rejected
    since: float = 0.0
    open: int = 0  # calls that began with it and have no outcome yet
    tally: Tally = field(default_factory=Tally)


@dataclass(frozen=True, slots=True)
class Promote:
    """The candidate takes over: its state is to be carried over first."""

    number: int


@dataclass(frozen=True, slots=True)
class Back:
    """The version before serves again."""

    number: int
    bad: int
    reason: str


@dataclass(frozen=True, slots=True)
class Retire:
    """The version's process may end."""

    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The candidate failed its trial; `last` has the words."""

    number: int


Step = Promote | Back | Retire | Reject


class Slot:
    """One plug-in's versions. At any time exactly one serves; each call keeps the one it began with."""

    def __init__(self, plugin: str, limits: SwapLimits | None = None) -> None:
        self.plugin, self.limits = plugin, limits or SwapLimits()
        self.versions: dict[int, Version] = {}
        self.serial = 0
        self.current = 0
        self.candidate: int | None = None
        self.previous: int | None = None
        self.promoting = self.stopping = False
        self.old_tally = Tally()  # of the version in service while a candidate is tried
        self.last = ""  # what became of the last swap, in words

    # --- versions come ---

    def first(self, text: str, now: float) -> int:
        """The version that serves from the start."""
        self.serial += 1
        self.versions[self.serial] = Version(self.serial, text, "serving", now)
        self.current = self.serial
        return self.serial

    def offer(self, text: str, now: float) -> int | None:
        """A new version is to be loaded; None while the invoker stops. A candidate that is still being tried
        gives way to it: of two swaps in a row the second counts."""
        if self.stopping:
            self.last = f"{text}: not taken, the invoker stops"
            return None
        if self.candidate is not None:
            self.drop_candidate(f"{self.versions[self.candidate].text}: superseded by {text}")
        self.serial += 1
        self.versions[self.serial] = Version(self.serial, text, "loading", now)
        self.candidate = self.serial
        return self.serial

    def loaded(self, number: int, now: float) -> bool:
        """It can be loaded and has passed its check. False where it is no longer wanted."""
        if number != self.candidate or self.versions[number].stage != "loading":
            return False
        version = self.versions[number]
        version.stage, version.since, self.old_tally = "trial", now, Tally()
        return True

    def failed(self, number: int, reason: str) -> None:
        """It can't be loaded, checked, or carried over to: the old one stays."""
        if number == self.candidate:
            self.drop_candidate(f"{self.versions[number].text}: {reason}; {self.serving().text} stays")

    def drop_candidate(self, words: str) -> None:
        assert self.candidate is not None
        self.versions[self.candidate].stage = "rejected"
        self.candidate, self.promoting, self.last = None, False, words

    def serving(self) -> Version:
        return self.versions[self.current]

    # --- calls ---

    def begin(self) -> int:
        """A call begins; it keeps this version until `end`."""
        self.serving().open += 1
        return self.current

    def end(self, number: int) -> None:
        if number in self.versions:
            self.versions[number].open -= 1

    def result(self, number: int, fault: bool) -> None:
        """A hook of that version ended."""
        if (version := self.versions.get(number)) is None:
            return
        version.tally.calls += 1
        version.tally.faults += fault
        if number == self.current and self.candidate is not None:
            self.old_tally.calls += 1
            self.old_tally.faults += fault

    def shadow(self) -> int | None:
        """The candidate that wants a copy of the calls."""
        if self.candidate is None or self.versions[self.candidate].stage != "trial":
            return None
        return None if self.promoting else self.candidate

    # --- steps ---

    def steps(self, now: float) -> list[Step]:
        """What is to be done now. A Promote is answered by `promoted` or `failed`."""
        out: list[Step] = []
        if (number := self.shadow()) is not None:
            version, lim = self.versions[number], self.limits
            if self.worse(version.tally, self.old_tally) and version.tally.calls >= min(5, lim.trial):
                self.failed(number, f"it failed {version.tally.faults} of {version.tally.calls} trial calls")
                out.append(Reject(number))
            elif version.tally.calls >= lim.trial or now - version.since >= lim.trial_ms:
                self.promoting = True
                out.append(Promote(number))
        if self.previous is not None:
            out += self.watched(now)
        for version in list(self.versions.values()):
            if self.idle(version, now):
                del self.versions[version.number]
                out.append(Retire(version.number))
        return out

    def watched(self, now: float) -> list[Step]:
        """Goes back by itself where the new version fails more than the old did."""
        assert self.previous is not None
        new, old, lim = self.serving(), self.versions[self.previous], self.limits
        if new.tally.calls >= min(5, lim.watch) and self.worse(new.tally, old.tally):
            reason = f"it failed {new.tally.faults} of {new.tally.calls} calls in service"
            new.stage, new.since, old.stage = "retired", now, "serving"
            self.current, self.previous = old.number, None
            self.last = f"{new.text}: {reason}; back to {old.text}"
            return [Back(old.number, new.number, reason)]
        if new.tally.calls >= lim.watch or now - new.since >= lim.watch_ms:
            new.stage, old.stage, old.since, self.previous = "serving", "retired", now, None
        return []

    def worse(self, new: Tally, old: Tally) -> bool:
        return new.rate() > old.rate() + self.limits.margin

    def idle(self, version: Version, now: float) -> bool:
        if version.stage == "rejected":
            return True
        waited = now - version.since >= self.limits.linger_ms
        return version.stage == "retired" and (version.open <= 0 or waited)

    def promoted(self, number: int, now: float) -> bool:
        """The candidate's state has been carried over: it serves from here. False where it was superseded."""
        if number != self.candidate or not self.promoting:
            return False
        if self.previous is not None:  # a second swap while the first was watched
            self.versions[self.previous].stage, self.versions[self.previous].since = "retired", now
        old, new = self.serving(), self.versions[number]
        old.stage, old.since = "previous", now
        new.stage, new.since, new.tally = "watched", now, Tally()
        self.previous, self.current, self.candidate, self.promoting = old.number, number, None, False
        self.last = f"{new.text}: in service"
        return True
