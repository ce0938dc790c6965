"""Results of the checks: breaks, cases within the slack, and how often each rule could have been broken."""

from __future__ import annotations

from brackenladder.rehearsal.checker.history import History, Request
from brackenladder.rehearsal.checker.verdicts import RULES, Finding, Rule, Terms


class Evidence:
    """Collects the results of all checks."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.edges: list[Finding] = []
        self.chances: dict[Rule, int] = dict.fromkeys(RULES, 0)
        self.nearest = 0.0  # rule `cold`: largest ratio of work sent to work allowed

    def add_break(
        self, rule: Rule, what: str, t: int, by: Request, server: str, text: str, timed: bool
    ) -> None:
        """Adds a break. `timed`: it depends on times, so it is not valid if a stand-in ran late."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.findings.append(Finding(rule, what, t, node, server, name, text, timed))

    def add_edge_case(self, rule: Rule, what: str, t: int, by: Request, server: str, text: str) -> None:
        """Adds a case within the slack on a time limit, which is reported but is not a break."""
        sent = by.sent
        node, name = (sent.node, sent.id) if sent is not None else ("", "")
        self.edges.append(Finding(rule, what, t, node, server, name, f"within the slack: {text}", True))


class RuleCheck:
    """Base class of the rule checks. A check reads the history and the limits, and adds to the evidence."""

    def __init__(self, history: History, terms: Terms, evidence: Evidence) -> None:
        self.history = history
        self.terms = terms
        self.evidence = evidence
