"""What a service's servers need for a prompt and for an answer, learned from this gateway's own calls."""

from __future__ import annotations

PREFILL_GUESS = 0.040  # prompt tokens a microsecond, until measured
PREFILL_LEAST, PREFILL_MOST = 0.008, 0.4  # an estimate beyond these is chance
PREFILL_PRIOR = 20.0  # the guess counts for so many calls
PREFILL_FADE = 0.98  # what earlier calls count for at each new one
PREFILL_SPREAD = 4000.0  # tokens: two prompts that differ by so much tell of the rate
OUTPUT_GUESS = 12_000.0  # microseconds for a token out, until measured
OUTPUT_LEAST, OUTPUT_MOST = 200.0, 200_000.0
OUTPUT_SMOOTH = 0.05


class PrefillRate:
    """Prompt tokens that a server reads in a microsecond: the slope of the first event's time over them.

    A regression that forgets; the guess stands for a number of calls before the first.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.mean_tokens = 0.0
        self.mean_time = 0.0
        self.variance = PREFILL_PRIOR * PREFILL_SPREAD**2
        self.covariance = self.variance / PREFILL_GUESS
        self.rate = PREFILL_GUESS

    def time(self, tokens: float) -> float:
        """Microseconds that reading so many tokens takes."""
        return tokens / self.rate

    def add(self, tokens: float, latency: float) -> None:
        """A first event came after so many microseconds, for so many unread tokens."""
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
    """Microseconds of a stream for each token that it may have."""

    def __init__(self) -> None:
        self.per_token = OUTPUT_GUESS

    def time(self, tokens: int) -> float:
        """How long a stream of so many tokens is expected to run."""
        return tokens * self.per_token

    def add(self, tokens: int, duration: int) -> None:
        """A stream with up to so many tokens ran for so long."""
        if tokens <= 0:
            return
        sample = min(OUTPUT_MOST, max(OUTPUT_LEAST, duration / tokens))
        self.per_token += OUTPUT_SMOOTH * (sample - self.per_token)
