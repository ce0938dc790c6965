"""The checks of a simulated exchange, on histories written by hand."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.simulation.errors import Violation
from brackenladder.simulation.exchange.checks import CONFIG_SLACK, LiveChecks, check_history
from brackenladder.simulation.exchange.history import (
    ConfigurationEvent,
    History,
    Request,
    RequestOutcome,
    Run,
)
from brackenladder.simulation.exchange.site import MISDIRECTED, ROUTES, Configuration


def broken_rule(history: History, undisturbed: bool) -> str:
    """The rule that a history breaks; `undisturbed`: no fault has affected any machine."""
    try:
        check_history(history, lambda *_: undisturbed)
    except Violation as violation:
        return violation.rule
    return ""


class RefusalTest(TestCase):
    """Refused tries of a request and their runs, as the checks of a run see them."""

    def rule_of(
        self, *arrived_at: int, executed: bool = True, status: int = 200, idempotent: bool = False
    ) -> str:
        """The broken rule if a request is refused at 2 s, tried again at 3 s, and runs at these times."""
        route = next(one for one in ROUTES if one.idempotent is idempotent and not one.streaming)
        request = Request("q1", route, "POST", "/x", b"", 0, 4_000, 0, started_at=1_000_000)
        request.outcome, request.status, request.ended_at = RequestOutcome.ANSWERED, 503, 2_000_000
        request.begin_again(3_000_000, 0)
        request.outcome, request.status, request.ended_at = RequestOutcome.ANSWERED, status, 3_500_000
        history = History(requests={"q1": request})
        history.configurations.append(ConfigurationEvent(0, Configuration(1)))
        for number, at in enumerate(arrived_at, start=1):
            run = Run(
                number, "q1", f"s{number}.1", route.service, "north", "north-1", at, "POST", "/x", b"", 0, 0
            )
            run.executed, run.status = executed, 200
            history.runs.append(run)
            request.signature = run.signature if status == 200 else ""
        return broken_rule(history, undisturbed=False)

    def test_the_run_of_the_latest_try(self) -> None:
        self.assertEqual(self.rule_of(3_100_000), "")

    def test_a_refused_try_that_ran(self) -> None:
        self.assertEqual(self.rule_of(1_500_000, status=503), "refused")
        self.assertEqual(self.rule_of(2_500_000, status=502), "refused")
        self.assertEqual(self.rule_of(3_100_000, status=503), "refused")

    def test_a_refused_try_that_ran_of_a_request_that_may_run_again(self) -> None:
        self.assertEqual(self.rule_of(1_500_000, status=503, idempotent=True), "refused")
        self.assertEqual(self.rule_of(3_100_000, status=503, idempotent=True), "refused")

    def test_a_refused_try_that_runs_later(self) -> None:
        self.assertEqual(self.rule_of(3_100_000, 3_200_000), "twice")

    def test_a_rejected_arrival_is_no_run(self) -> None:
        self.assertEqual(self.rule_of(1_500_000, 3_100_000, executed=False, status=503), "")


class ResumptionTest(TestCase):
    """A stream resumed at 2.5 s that began at 2 s, under configurations with and without `Resumable`."""

    def rule_of(self, *configurations: tuple[int, bool]) -> str:
        """The broken rule if configurations with this `Resumable` come into force at these times."""
        route = next(one for one in ROUTES if one.resumable)
        request = Request("q1", route, "POST", "/x", b"", 0, 4_000, 1, started_at=2_000_000)
        request.outcome, request.ended_at = RequestOutcome.GIVEN_UP, 2_600_000
        history = History(requests={"q1": request})
        for version, (at, resumable) in enumerate(configurations, start=1):
            event = ConfigurationEvent(at, Configuration(version, resumable=resumable))
            history.configurations.append(event)
        for number, (at, after_event) in enumerate(((2_100_000, 0), (2_500_000, 1)), start=1):
            run = Run(number, "q1", f"s{number}.1", "api", "north", "north-1", at, "POST", "/x", b"", 0, 0)
            run.after_event = after_event
            history.runs.append(run)
        return broken_rule(history, undisturbed=True)

    def test_no_configuration_in_force_allows_it(self) -> None:
        self.assertEqual(self.rule_of((0, True), (1_000_000, False)), "twice")

    def test_a_configuration_in_force_allows_it(self) -> None:
        self.assertEqual(self.rule_of((0, False), (1_000_000, True)), "")
        self.assertEqual(self.rule_of((0, False), (2_200_000, True)), "")


class ClosedServerTest(TestCase):
    """A request at a server that must get no more, as the checks during a run see it."""

    CLOSED_AT = 2_000_000

    def rule_of(self, executed: bool, status: int, late: int) -> str:
        """The broken rule if a request arrives `late` microseconds after gateways were told of the drain."""
        history = History()
        checks = LiveChecks(history, lambda: self.CLOSED_AT, lambda *_: True)
        checks.server_closed("s1.2")
        arrived_at = self.CLOSED_AT + late
        run = Run(1, "q1", "s1.2", "api", "north", "north-1", arrived_at, "POST", "/x", b"", 0, 0)
        run.executed, run.status = executed, status
        history.runs.append(run)
        checks.check()
        return checks.failure.rule if checks.failure else ""

    def test_a_request_that_runs_breaks_the_rule(self) -> None:
        self.assertEqual(self.rule_of(True, 200, CONFIG_SLACK + 1), "drain")

    def test_a_request_that_is_rejected_breaks_the_rule(self) -> None:
        self.assertEqual(self.rule_of(False, 503, CONFIG_SLACK + 1), "drain")

    def test_a_request_that_arrives_in_time_does_not(self) -> None:
        self.assertEqual(self.rule_of(True, 200, CONFIG_SLACK), "")

    def test_a_request_meant_for_another_server_does_not(self) -> None:
        self.assertEqual(self.rule_of(False, MISDIRECTED, CONFIG_SLACK + 1), "")

    def test_the_status_alone_is_no_excuse(self) -> None:
        self.assertEqual(self.rule_of(True, MISDIRECTED, CONFIG_SLACK + 1), "drain")
