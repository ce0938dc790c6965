"""When a call to discovery counts as silent, and how soon it is made anew. Pure; random numbers come in.

The platform counts what a silent watch misses as told 2 s after its wait is over, and a request may be sent
to a server that is withdrawn for 250 ms more. All that a node does from the wait's end on has to fit in
between.
"""

from __future__ import annotations

ANSWER_TIMEOUT = 0.6  # seconds after its wait, after which a watch that has not been answered is silent
FIRST_BYTE_TIMEOUT = (
    1.2  # seconds for a whole list to begin to come; discovery ends calls that waited 1 s for their turn
)
READ_TIMEOUT = 1.0  # seconds without a further byte of an answer that has begun, after which it is given up
BODY_TIMEOUT = 3.0  # and for all of it
MAX_RETRIES = 4  # calls that follow a silent one without a word to the module
MIN_PAUSE, MAX_PAUSE = 0.1, 0.3  # seconds before each of them but the first, at random
SPREAD = (
    0.1  # part of a wait that chance takes off, so that watches that fell silent together do not end together
)


def jittered_wait_ms(longest: int, chance: float) -> int:
    """Milliseconds that a watch is to last, of `longest`; `chance`: from 0 to 1.

    Failure prevented: all watches of a fleet fall silent at once, all are opened anew in the same moment, and
    discovery turns most of them away until the time is over in which the change counts as untold.
    """
    return round(longest * (1 - SPREAD * chance))


class WatchRetry:
    """One watch, over all its calls."""

    def __init__(self) -> None:
        self.tries = 0

    def answered(self) -> None:
        self.tries = 0

    def failed(self, silent: bool, chance: float) -> float | None:
        """Seconds until a call that failed is made again; None: the module says when.

        `silent`: nothing came in its time, where other failures are an answer of a kind. Failure prevented: a
        watch is given up at the instant from which it counts as told, and opened anew a back-off later.
        """
        if silent and not self.tries:
            self.tries = 1
            return 0.0
        if 0 < self.tries < MAX_RETRIES:
            self.tries += 1
            return MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE) * chance
        self.tries = 0
        return None
