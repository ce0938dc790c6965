"""The rule `effect`: no retry that the class does not allow, no concurrent attempts, no false refusal."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.rehearsal.checker.evidence import RuleCheck
from brackenladder.rehearsal.checker.history import Attempt, Request
from brackenladder.rehearsal.checker.verdicts import ClassTerms

REFUSED = (429, 503)


class EffectCheck(RuleCheck):
    """The attempts of each request against its class."""

    def check(self) -> None:
        """Attempts of one request against what its class allows."""
        for request in self.history.requests.values():
            if request.sent is None or not request.attempts:
                continue
            klass = self.terms.classes[request.sent.klass]
            attempts = sorted(request.attempts, key=lambda a: (a.first, a.whole))
            # A chance: an effect that may have happened, and nothing that says so reached the node whole.
            if klass.effect != "safe" and any(a.may_have_run and a.how != "served" for a in attempts):
                self.evidence.chances["effect"] += 1
            if len(attempts) > self.terms.attempts:
                text = f"{len(attempts)} attempts, {self.terms.attempts} are allowed"
                self.evidence.broke(
                    "effect", "too many", attempts[-1].first, request, attempts[-1].server, text, False
                )
            self.check_overlap(request, attempts)
            self.check_repeats(request, klass, attempts)
            self.check_refusal(request, klass, attempts)

    def check_overlap(self, request: Request, attempts: Sequence[Attempt]) -> None:
        slack = self.terms.slack
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            if earlier.queued or later.queued or earlier.end <= later.whole:
                continue
            both = min(earlier.end, later.end, self.history.last) - later.whole
            text = f"two attempts at once for {both / 1000:.0f} ms, the other at {earlier.server}"
            if both > slack:
                self.evidence.broke("effect", "overlap", later.whole, request, later.server, text, True)
            elif both > 0:
                self.evidence.edge("effect", "overlap", later.whole, request, later.server, text)

    def check_repeats(self, request: Request, klass: ClassTerms, attempts: Sequence[Attempt]) -> None:
        if klass.effect == "safe":
            return
        ran: Attempt | None = None  # the first attempt that may have run
        for attempt in attempts:
            if ran is not None and klass.effect == "unsafe":
                text = f"sent again after an attempt at {ran.server} that may have run ({ended(ran)})"
                self.evidence.broke("effect", "repeat", attempt.whole, request, attempt.server, text, False)
            elif ran is not None:
                if self.history.group(attempt.server, klass.group) != self.history.group(
                    ran.server, klass.group
                ):
                    text = f"repeated outside the group of {ran.server}, where it may have run ({ended(ran)})"
                    self.evidence.broke(
                        "effect", "outside", attempt.whole, request, attempt.server, text, False
                    )
                after = attempt.first - ran.first - klass.window
                text = f"repeated {after / 1000:.0f} ms after the window in which repeats are dropped"
                if after > self.terms.slack and not attempt.queued:
                    self.evidence.broke(
                        "effect", "window", attempt.first, request, attempt.server, text, True
                    )
                elif after > 0 and not attempt.queued:
                    self.evidence.edge("effect", "window", attempt.first, request, attempt.server, text)
            if ran is None and attempt.may_have_run:
                ran = attempt

    def check_refusal(self, request: Request, klass: ClassTerms, attempts: Sequence[Attempt]) -> None:
        """A refusal says that a retry is harmless."""
        answer = request.answer
        if answer is None or answer.status not in REFUSED or klass.effect == "safe":
            return
        if klass.effect == "keyed" and klass.group == "all":
            return
        ran = next((a for a in attempts if a.may_have_run), None)
        if ran is not None:
            text = f"refused with {answer.status}, but it may have run at {ran.server} ({ended(ran)})"
            self.evidence.broke("effect", "refused", answer.t, request, ran.server, text, False)


def ended(attempt: Attempt) -> str:
    """How an attempt ended, in words."""
    words = {
        "served": "it served",
        "error": "it answered 500",
        "node": "the node closed",
        "server": "the server reset",
    }
    return words.get(attempt.how, "it is still out")
