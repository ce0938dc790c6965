"""Results of the checks: breaks, edge cases, and how often each rule could have been broken."""

from __future__ import annotations

from brackenladder.rehearsal.checker.history import History, Request
from brackenladder.rehearsal.checker.verdicts import RULES, Finding, Rule, Terms


class Evidence:
    """Collects the results of all checks."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.edges: list[Finding] = []
        self.chances: dict[Rule, int] = dict.fromkeys(RULES, 0)
        self.nearest = 0.0  # of the rule `cold`; see `Ruling.nearest`

    def add_break(
        self, rule: Rule, what: str, t: int, by: Request, server: str, text: str, timed: bool
    ) -> None:
        """Adds a break. `timed`: it depends on times."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.findings.append(Finding(rule, what, t, node, server, name, text, timed))

    def add_edge_case(self, rule: Rule, what: str, t: int, by: Request, server: str, text: str) -> None:
        """Adds a case within the slack."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.edges.append(Finding(rule, what, t, node, server, name, f"within the slack: {text}", True))


class RuleCheck:
    """Base of the checks: the history and the limits that they read, and the evidence that they fill."""

    def __init__(self, history: History, terms: Terms, evidence: Evidence) -> None:
        self.history = history
        self.terms = terms
        self.evidence = evidence
