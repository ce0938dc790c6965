"""The rule `lost`: one final answer in time for every request, and nothing sent for it afterwards."""

from __future__ import annotations

from brackenladder.rehearsal.checker.evidence import RuleCheck
from brackenladder.rehearsal.checker.history import NEVER, Request
from brackenladder.rehearsal.events import Broken


class LostCheck(RuleCheck):
    """Checks that each request gets one answer, within its deadline, that a server made for it."""

    def check(self) -> None:
        """Checks every request: one final answer in time, and nothing sent after it."""
        terms = self.terms
        for request in self.history.requests.values():
            sent = request.sent
            if sent is None:
                continue
            limit = sent.t + sent.budget + terms.answer
            if self.history.paused(sent.node, sent.t - terms.slack, limit + terms.slack):
                continue
            over = NEVER  # time from which nothing more may be sent for this request
            answer, broken, gave_up = request.answer, request.broken, request.gave_up
            if answer is not None:
                over = answer.t
                self.evidence.chances["lost"] += 1
                if not answer.own:
                    self.evidence.add_break(
                        "lost",
                        "made up",
                        answer.t,
                        request,
                        "",
                        "the answer is not the one that a server made for this request",
                        False,
                    )
                if answer.t > limit + terms.slack:
                    late = (answer.t - limit) / 1000
                    self.evidence.add_break(
                        "lost", "late", answer.t, request, "", f"answered {late:.0f} ms late", True
                    )
                elif answer.t > limit:
                    late = (answer.t - limit) / 1000
                    self.evidence.add_edge_case(
                        "lost", "late", answer.t, request, "", f"answered {late:.0f} ms late"
                    )
            elif gave_up is not None and gave_up.early:
                over = gave_up.t
            elif self.history.killed(
                sent.node, sent.t - terms.slack, self.history.ending(request) + terms.slack
            ):
                continue  # the client has to retry what a killed node held
            elif gave_up is not None:
                self.evidence.chances["lost"] += 1
                self.evidence.add_break(
                    "lost", "no answer", gave_up.t, request, "", "no answer before the client gave up", False
                )
            elif broken is not None:
                over = broken.t
                self.evidence.chances["lost"] += 1
                if not broken.begun and not self.lost_on_closing_connection(request, broken):
                    self.evidence.add_break(
                        "lost", "cut off", broken.t, request, "", "the connection ended unanswered", False
                    )
            if request.again is not None:
                text = "more bytes came after the answer"
                self.evidence.add_break("lost", "answered twice", request.again.t, request, "", text, False)
            for attempt in request.attempts:
                if attempt.queued or attempt.first <= over:
                    continue
                text = f"an attempt {(attempt.first - over) / 1000:.0f} ms after the request was over"
                if attempt.first > over + terms.slack:
                    self.evidence.add_break(
                        "lost", "sent after", attempt.first, request, attempt.server, text, True
                    )
                else:
                    self.evidence.add_edge_case(
                        "lost", "sent after", attempt.first, request, attempt.server, text
                    )

    def lost_on_closing_connection(self, request: Request, broken: Broken) -> bool:
        """Whether the request was sent on a reused connection just as the node closed it, and never read."""
        sent = request.sent
        assert sent is not None
        return sent.reused and broken.t <= sent.t + self.terms.slack and not request.attempts
