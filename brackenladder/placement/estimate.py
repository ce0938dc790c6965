"""Estimates of the prefill rate and output time of a service, from this gateway's own calls."""

from __future__ import annotations

PREFILL_GUESS = 0.040  # prompt tokens per microsecond: the estimate before the first calls
PREFILL_LEAST, PREFILL_MOST = 0.008, 0.4  # bounds of the estimate; values outside are noise
PREFILL_PRIOR = 20.0  # weight of PREFILL_GUESS in the estimate, in calls
PREFILL_FADE = 0.98  # factor on the weight of earlier calls at each new call
PREFILL_SPREAD = 4000.0  # tokens: spread of prompt lengths needed for an estimate
OUTPUT_GUESS = 12_000.0  # microseconds per output token: the estimate before the first streams
OUTPUT_LEAST, OUTPUT_MOST = 200.0, 200_000.0
OUTPUT_SMOOTH = 0.05


class PrefillRate:
    """Prompt tokens that a server processes per microsecond.

    It is the inverse slope of a linear regression of the time until the first event over the uncached
    tokens. Earlier calls lose weight, and PREFILL_GUESS counts like PREFILL_PRIOR calls at the start.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.mean_tokens = 0.0
        self.mean_time = 0.0
        self.variance = PREFILL_PRIOR * PREFILL_SPREAD**2
        self.covariance = self.variance / PREFILL_GUESS
        self.rate = PREFILL_GUESS

    def time(self, tokens: float) -> float:
        """Microseconds that the prefill of so many tokens takes."""
        return tokens / self.rate

    def add(self, tokens: float, latency: float) -> None:
        """Records the time until a first event, and the tokens that were not cached."""
        self.weight = self.weight * PREFILL_FADE + 1
        step = 1 / self.weight
        off_tokens = tokens - self.mean_tokens
        off_time = latency - self.mean_time
        self.mean_tokens += step * off_tokens
        self.mean_time += step * off_time
        self.variance = self.variance * PREFILL_FADE + (1 - step) * off_tokens * off_tokens
        self.covariance = self.covariance * PREFILL_FADE + (1 - step) * off_tokens * off_time
        if self.variance > PREFILL_SPREAD**2 and self.covariance > 0:
            rate = self.variance / self.covariance
            self.rate = min(PREFILL_MOST, max(PREFILL_LEAST, rate))


class OutputTime:
    """Mean microseconds that a stream takes per token of its maximum length, which is known in advance."""

    def __init__(self) -> None:
        self.per_token = OUTPUT_GUESS

    def time(self, tokens: int) -> float:
        """The expected duration of a stream of at most so many tokens."""
        return tokens * self.per_token

    def add(self, tokens: int, duration: int) -> None:
        """Records the duration of a stream of at most so many tokens."""
        if tokens <= 0:
            return
        sample = min(OUTPUT_MOST, max(OUTPUT_LEAST, duration / tokens))
        self.per_token += OUTPUT_SMOOTH * (sample - self.per_token)
