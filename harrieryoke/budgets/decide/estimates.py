"""Estimates the tokens of a call by function, from a moving mean and deviation (Jacobson, Karels 1988)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import ceil


@dataclass(slots=True)
class CostEstimator:
    """Uses `default_tokens` for a function that was never seen. Keeps at most `capacity` functions and evicts
    the least recently recorded one. The estimate is the mean plus two deviations, so that few calls exceed
    their reservation."""

    default_tokens: int = 200
    capacity: int = 4096
    known: OrderedDict[str, tuple[float, float]] = field(default_factory=OrderedDict)  # mean, deviation

    def estimate(self, function: str) -> int:
        """Returns the tokens to reserve for a call of the function."""
        found = self.known.get(function)
        return self.default_tokens if found is None else max(1, ceil(found[0] + 2 * found[1]))

    def record(self, function: str, tokens: int) -> None:
        """Updates the moving averages with the tokens that a call used."""
        mean, deviation = self.known.pop(function, (float(tokens), tokens / 2))
        error = tokens - mean
        self.known[function] = mean + error / 8, deviation + (abs(error) - deviation) / 4
        if len(self.known) > self.capacity:
            self.known.popitem(last=False)
