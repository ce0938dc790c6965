"""What the rules find: breaks, cases within the slack, and how often each rule could have been broken."""

from __future__ import annotations

from brackenladder.rehearsal.checker.history import History, Request
from brackenladder.rehearsal.checker.verdicts import RULES, Finding, Rule, Terms


class Evidence:
    """Collects what all rules find."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.edges: list[Finding] = []
        self.chances: dict[Rule, int] = dict.fromkeys(RULES, 0)
        self.nearest = 0.0  # of `cold`: see Ruling

    def broke(self, rule: Rule, what: str, t: int, by: Request, server: str, text: str, timed: bool) -> None:
        """A break of a rule."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.findings.append(Finding(rule, what, t, node, server, name, text, timed))

    def edge(self, rule: Rule, what: str, t: int, by: Request, server: str, text: str) -> None:
        """A case within the slack."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.edges.append(Finding(rule, what, t, node, server, name, f"within the slack: {text}", True))


class RuleCheck:
    """What every rule's check reads and writes."""

    def __init__(self, history: History, terms: Terms, evidence: Evidence) -> None:
        self.history = history
        self.terms = terms
        self.evidence = evidence
