"""The rule `effect`: no retry that the class does not allow, no concurrent attempts, no false refusal."""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.rehearsal.checker.evidence import RuleCheck
from brackenladder.rehearsal.checker.history import Attempt, Request
from brackenladder.rehearsal.checker.verdicts import ClassTerms

REFUSED = (429, 503)


class EffectCheck(RuleCheck):
    """Compares the attempts of each request with what its class allows."""

    def check(self) -> None:
        """Checks the number, overlap and repeats of each request's attempts, and each refusal."""
        for request in self.history.requests.values():
            if request.sent is None or not request.attempts:
                continue
            klass = self.terms.classes[request.sent.klass]
            attempts = sorted(request.attempts, key=lambda a: (a.first, a.whole))
            # The rule could be broken if the request may have run and no complete answer told the node so.
            if klass.effect != "safe" and any(a.may_have_run and a.how != "served" for a in attempts):
                self.evidence.chances["effect"] += 1
            if len(attempts) > self.terms.attempts:
                text = f"{len(attempts)} attempts, {self.terms.attempts} are allowed"
                self.evidence.add_break(
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
                self.evidence.add_break("effect", "overlap", later.whole, request, later.server, text, True)
            elif both > 0:
                self.evidence.add_edge_case("effect", "overlap", later.whole, request, later.server, text)

    def check_repeats(self, request: Request, klass: ClassTerms, attempts: Sequence[Attempt]) -> None:
        if klass.effect == "safe":
            return
        ran: Attempt | None = None  # the first attempt that may have run
        for attempt in attempts:
            if ran is not None and klass.effect == "unsafe":
                text = f"sent again after an attempt at {ran.server} that may have run ({end_text(ran)})"
                self.evidence.add_break(
                    "effect", "repeat", attempt.whole, request, attempt.server, text, False
                )
            elif ran is not None:
                if self.history.group(attempt.server, klass.group) != self.history.group(
                    ran.server, klass.group
                ):
                    text = f"repeated outside {ran.server}'s group, where it may have run ({end_text(ran)})"
                    self.evidence.add_break(
                        "effect", "outside", attempt.whole, request, attempt.server, text, False
                    )
                after = attempt.first - ran.first - klass.window
                text = f"repeated {after / 1000:.0f} ms after the window in which repeats are dropped"
                if after > self.terms.slack and not attempt.queued:
                    self.evidence.add_break(
                        "effect", "window", attempt.first, request, attempt.server, text, True
                    )
                elif after > 0 and not attempt.queued:
                    self.evidence.add_edge_case(
                        "effect", "window", attempt.first, request, attempt.server, text
                    )
            if ran is None and attempt.may_have_run:
                ran = attempt

    def check_refusal(self, request: Request, klass: ClassTerms, attempts: Sequence[Attempt]) -> None:
        """A refusal tells the client that a retry is safe, so it is wrong if the request may have run."""
        answer = request.answer
        if answer is None or answer.status not in REFUSED or klass.effect == "safe":
            return
        if klass.effect == "keyed" and klass.group == "all":
            return
        ran = next((a for a in attempts if a.may_have_run), None)
        if ran is not None:
            text = f"refused with {answer.status}, but it may have run at {ran.server} ({end_text(ran)})"
            self.evidence.add_break("effect", "refused", answer.t, request, ran.server, text, False)


def end_text(attempt: Attempt) -> str:
    """Describes in words how an attempt ended."""
    words = {
        "served": "it was served",
        "error": "it answered 500",
        "node": "the node closed",
        "server": "the server reset",
    }
    return words.get(attempt.how, "it has not ended")
