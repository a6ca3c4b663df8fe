"""The life cycle of a plug-in's versions: loading, on trial beside the serving one, serving, retired."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_CALLS_TO_JUDGE = 5  # before a version's fault rate counts, unless its trial is shorter


@dataclass(frozen=True, slots=True)
class SwapLimits:
    """Limits of a trial and of the watch that follows it.

    A new version is on trial for `trial_calls` copies of calls or `trial_ms`, whichever comes first, and then
    watched in service for `watch_calls` or `watch_ms`. Its fault rate may exceed the old version's by
    `fault_rate_margin`.
    """

    trial_calls: int = 20
    trial_ms: float = 2000.0
    watch_calls: int = 50
    watch_ms: float = 5000.0
    fault_rate_margin: float = 0.1
    retire_timeout_ms: float = 30_000.0  # how long a retired version waits for the outcomes of its calls


@dataclass(slots=True)
class CallStats:
    calls: int = 0
    faults: int = 0

    def fault_rate(self) -> float:
        return self.faults / self.calls if self.calls else 0.0


@dataclass(slots=True)
class Version:
    number: int
    text: str  # name, version and digest, for people
    stage: str = "loading"  # loading, trial, serving, watched, previous, retired, rejected
    stage_since: float = 0.0
    open_calls: int = 0  # calls that began with it and have no outcome yet
    stats: CallStats = field(default_factory=CallStats)


@dataclass(frozen=True, slots=True)
class Promote:
    """Carry the state over to the candidate, then let it serve."""

    number: int


@dataclass(frozen=True, slots=True)
class RollBack:
    """The previous version serves again."""

    number: int
    failed_number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Retire:
    """The version's process may end."""

    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The candidate failed its trial; `PluginVersions.last_swap` has the reason."""

    number: int


SwapStep = Promote | RollBack | Retire | Reject


class PluginVersions:
    """The versions of one plug-in.

    Exactly one serves at any time; each call keeps the version that it began with.
    """

    def __init__(self, plugin: str, limits: SwapLimits | None = None) -> None:
        self.plugin, self.limits = plugin, limits or SwapLimits()
        self.versions: dict[int, Version] = {}
        self.last_number = 0
        self.current = 0
        self.candidate: int | None = None
        self.previous: int | None = None
        self.promoting = self.stopping = False
        self.baseline = CallStats()  # of the serving version while a candidate is on trial
        self.last_swap = ""  # the outcome of the last swap, for operators

    # --- new versions ---

    def add_first(self, text: str, now: float) -> int:
        """Add the version that serves from the start."""
        self.last_number += 1
        self.versions[self.last_number] = Version(self.last_number, text, "serving", now)
        self.current = self.last_number
        return self.last_number

    def add_candidate(self, text: str, now: float) -> int | None:
        """Add a version to be loaded; return None while the invoker stops. It supersedes a candidate that is
        still loading or on trial."""
        if self.stopping:
            self.last_swap = f"{text}: not taken, the invoker stops"
            return None
        if self.candidate is not None:
            self.reject_candidate(f"{self.versions[self.candidate].text}: superseded by {text}")
        self.last_number += 1
        self.versions[self.last_number] = Version(self.last_number, text, "loading", now)
        self.candidate = self.last_number
        return self.last_number

    def candidate_loaded(self, number: int, now: float) -> bool:
        """Start the trial of a loaded candidate; return False if it has been superseded."""
        if number != self.candidate or self.versions[number].stage != "loading":
            return False
        version = self.versions[number]
        version.stage, version.stage_since, self.baseline = "trial", now, CallStats()
        return True

    def candidate_failed(self, number: int, reason: str) -> None:
        """Reject a candidate that could not be loaded, checked or given the state."""
        if number == self.candidate:
            self.reject_candidate(
                f"{self.versions[number].text}: {reason}; {self.serving_version().text} stays"
            )

    def reject_candidate(self, reason: str) -> None:
        assert self.candidate is not None
        self.versions[self.candidate].stage = "rejected"
        self.candidate, self.promoting, self.last_swap = None, False, reason

    def serving_version(self) -> Version:
        return self.versions[self.current]

    # --- calls ---

    def begin_call(self) -> int:
        """Return the number of the serving version; the call keeps it until `end_call`."""
        self.serving_version().open_calls += 1
        return self.current

    def end_call(self, number: int) -> None:
        if number in self.versions:
            self.versions[number].open_calls -= 1

    def record_result(self, number: int, fault: bool) -> None:
        """Record the result of a hook of that version."""
        if (version := self.versions.get(number)) is None:
            return
        version.stats.calls += 1
        version.stats.faults += fault
        if number == self.current and self.candidate is not None:
            self.baseline.calls += 1
            self.baseline.faults += fault

    def trial_version(self) -> int | None:
        """The candidate that is to get copies of the calls."""
        if self.candidate is None or self.versions[self.candidate].stage != "trial":
            return None
        return None if self.promoting else self.candidate

    # --- steps ---

    def due_steps(self, now: float) -> list[SwapStep]:
        """The steps to take now. A Promote must be answered by `complete_promotion` or `candidate_failed`."""
        out: list[SwapStep] = []
        if (number := self.trial_version()) is not None:
            version, lim = self.versions[number], self.limits
            if self.exceeds_margin(version.stats, self.baseline) and version.stats.calls >= min(
                MIN_CALLS_TO_JUDGE, lim.trial_calls
            ):
                self.candidate_failed(
                    number, f"it failed {version.stats.faults} of {version.stats.calls} trial calls"
                )
                out.append(Reject(number))
            elif version.stats.calls >= lim.trial_calls or now - version.stage_since >= lim.trial_ms:
                self.promoting = True
                out.append(Promote(number))
        if self.previous is not None:
            out += self.check_watched(now)
        for version in list(self.versions.values()):
            if self.can_retire(version, now):
                del self.versions[version.number]
                out.append(Retire(version.number))
        return out

    def check_watched(self, now: float) -> list[SwapStep]:
        """Roll back if the new version fails more often than the old one; end the watch when it is over."""
        assert self.previous is not None
        new, old, lim = self.serving_version(), self.versions[self.previous], self.limits
        if new.stats.calls >= min(MIN_CALLS_TO_JUDGE, lim.watch_calls) and self.exceeds_margin(
            new.stats, old.stats
        ):
            reason = f"it failed {new.stats.faults} of {new.stats.calls} calls in service"
            new.stage, new.stage_since, old.stage = "retired", now, "serving"
            self.current, self.previous = old.number, None
            self.last_swap = f"{new.text}: {reason}; back to {old.text}"
            return [RollBack(old.number, new.number, reason)]
        if new.stats.calls >= lim.watch_calls or now - new.stage_since >= lim.watch_ms:
            new.stage, old.stage, old.stage_since, self.previous = "serving", "retired", now, None
        return []

    def exceeds_margin(self, new: CallStats, old: CallStats) -> bool:
        return new.fault_rate() > old.fault_rate() + self.limits.fault_rate_margin

    def can_retire(self, version: Version, now: float) -> bool:
        if version.stage == "rejected":
            return True
        timed_out = now - version.stage_since >= self.limits.retire_timeout_ms
        return version.stage == "retired" and (version.open_calls <= 0 or timed_out)

    def complete_promotion(self, number: int, now: float) -> bool:
        """Let the candidate serve, after its state was carried over; return False if it was superseded."""
        if number != self.candidate or not self.promoting:
            return False
        if self.previous is not None:  # a second swap while the first is still being watched
            self.versions[self.previous].stage, self.versions[self.previous].stage_since = "retired", now
        old, new = self.serving_version(), self.versions[number]
        old.stage, old.stage_since = "previous", now
        new.stage, new.stage_since, new.stats = "watched", now, CallStats()
        self.previous, self.current, self.candidate, self.promoting = old.number, number, None, False
        self.last_swap = f"{new.text}: in service"
        return True
