"""The verdict on a soak: what must hold of the events that actors saw. Pure: no I/O, no clock."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

from attrs import define, field, frozen

from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.soak import events as seen
from brackenladder.soak.configuration import CALLS, HOSTS, IDEMPOTENT
from brackenladder.soak.contact import Troubles
from brackenladder.soak.site import SoakLayout
from brackenladder.soak.versions import Versions, fault_of_orders

DRAIN = round(DEFAULT_BOUNDS.drain_ms * 1000)  # microseconds
EVACUATE = round(DEFAULT_BOUNDS.evacuate_ms * 1000)
LOSS_SLACK = round(DEFAULT_BOUNDS.loss_slack_ms * 1000)
SPENT_SHARE = 0.7  # of its deadline: a request that has used so much is not lost by planned work
SERVED_SECONDS = 3_000_000  # microseconds after the recovery in which clients are served
SERVED_SHARE = 0.25
T = TypeVar("T")


class Rule(Enum):
    """What must hold."""

    HOME = "HOME"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    MIXED = "MIXED"
    DRAIN = "DRAIN"
    EVAC = "EVAC"
    CONFIG = "CONFIG"
    DENIED = "DENIED"
    LOST = "LOST"
    ENDED = "ENDED"
    LOG = "LOG"
    RECOVER = "RECOVER"


@frozen
class Breach:
    """One violation."""

    rule: Rule
    at: int  # microseconds of the monotonic clock; 0: of no moment
    detail: str


@define
class Verdict:
    """What was found. `checked` counts what each rule was held against, `excused` what a fault explains."""

    breaches: list[Breach] = field(factory=list)
    checked: Counter[str] = field(factory=Counter)
    excused: Counter[str] = field(factory=Counter)
    outcomes: Counter[str] = field(factory=Counter)
    began: int = 0

    @property
    def held(self) -> bool:
        """Whether nothing was broken."""
        return not self.breaches

    def add(self, rule: Rule, at: int, detail: str) -> None:
        """One more violation."""
        self.breaches.append(Breach(rule, at, detail))


def judge(events: list[seen.Event], layout: SoakLayout) -> Verdict:
    """Holds every rule against the events."""
    return _Judge(events, layout).verdict()


class _Judge:
    """The events by their kinds, and a method for each rule."""

    def __init__(self, events: list[seen.Event], layout: SoakLayout) -> None:
        self._events = events
        self._regions = layout.zones
        self._servers = layout.servers()
        self._gateways = {machine.front: machine for machine in layout.gateways}
        self._directories = {machine.directory: machine.name for machine in layout.control}
        self._tries = {one.request: one for one in self._of(seen.Tried)}
        self._arrivals: defaultdict[str, list[seen.Arrived]] = defaultdict(list)
        for arrival in self._of(seen.Arrived):
            self._arrivals[arrival.request].append(arrival)
        self._ran = Counter(one.request for one in self._of(seen.Handled) if not one.refusal)
        self._refusals = {(one.request, one.server): one.refusal for one in self._of(seen.Handled)}
        self._troubles = Troubles(events, [machine.name for machine in layout.control])
        self._versions = Versions(self._of(seen.Ordered))
        self._verdict = Verdict()

    def verdict(self) -> Verdict:
        """All rules."""
        found = self._verdict
        found.outcomes.update(one.outcome for one in self._tries.values())
        found.began = min((one.began for one in self._tries.values()), default=0)
        for check in (
            self._check_arrivals,
            self._check_directory,
            self._check_runs,
            self._check_answers,
            self._check_leaves,
            self._check_evacuations,
            self._check_orders,
            self._check_losses,
            self._check_processes,
            self._check_recovery,
        ):
            check()
        found.breaches.sort(key=lambda breach: breach.at)
        return found

    def _of(self, kind: type[T]) -> Iterable[T]:
        return (event for event in self._events if isinstance(event, kind))

    def _gateway(self, request: str) -> str:
        """The name of the gateway that took a request."""
        tried = self._tries.get(request)
        machine = self._gateways.get(tried.gateway) if tried else None
        return machine.name if machine else ""

    # -- requests

    def _check_arrivals(self) -> None:
        """HOME, CONFIG and UNASKED: a request reaches a server that a configuration allows."""
        for arrivals in self._arrivals.values():
            for arrival in arrivals:
                tried = self._tries.get(arrival.request)
                if tried is None or tried.path != arrival.path:
                    detail = f"request {arrival.request} {arrival.path} reached {arrival.server}: no client's"
                    self._verdict.add(Rule.UNASKED, arrival.at, detail)
                    continue
                self._check_arrival(arrival, tried)

    def _check_arrival(self, arrival: seen.Arrived, tried: seen.Tried) -> None:
        in_touch = self._troubles.in_touch(self._gateway(arrival.request), arrival.at)
        route = (tried.host, tried.path)
        rules = self._versions.rules(route, tried.began, arrival.at, in_touch)
        self._verdict.checked[Rule.CONFIG.value] += in_touch
        if not any(arrival.service in rule.services for rule in rules):
            detail = f"{_name(tried)} ran at {arrival.server} of {arrival.service} by {tried.gateway}"
            self._verdict.add(Rule.CONFIG, arrival.at, detail)
        region = self._regions[arrival.zone]
        self._verdict.checked[Rule.HOME.value] += any(rule.homes for rule in rules)
        if not any(not rule.homes or region in rule.homes for rule in rules):
            homes = sorted(set().union(*(rule.homes for rule in rules)))
            detail = f"{_name(tried)} with homes {homes} reached {arrival.server} in {region}"
            self._verdict.add(Rule.HOME, arrival.at, f"{detail} by {tried.gateway}")

    def _check_directory(self) -> None:
        """HOME: a client is led to gateways of its own region and of the host's homes."""
        for answer in self._of(seen.Resolved):
            in_touch = self._troubles.in_touch(self._directories.get(answer.directory, ""), answer.at)
            routes = [(call.host, call.path) for call in CALLS if call.host == answer.host]
            rules = [
                rule
                for route in routes
                for rule in self._versions.rules(route, answer.at, answer.at, in_touch)
            ]
            if not rules or any(not rule.homes for rule in rules):
                continue
            self._verdict.checked["HOME by directory"] += 1
            allowed = {answer.region}.union(*(rule.homes for rule in rules))
            regions = {self._gateways[address].region for address in answer.addresses}
            if regions - allowed:
                detail = f"{answer.directory} leads a client of {answer.region} for {answer.host}"
                detail += f" (homes {sorted(allowed - {answer.region})}) to {sorted(regions - allowed)}"
                self._verdict.add(Rule.HOME, answer.at, detail)

    def _check_runs(self) -> None:
        """TWICE and REFUSED: what may not be repeated runs at most once, and never after a refusal."""
        for tried in self._tries.values():
            if IDEMPOTENT[tried.host, tried.path]:
                continue
            self._verdict.checked[Rule.TWICE.value] += 1
            runs = self._ran[tried.request]
            if runs > 1:
                self._verdict.add(Rule.TWICE, tried.ended, f"{_name(tried)} ran {runs} times")
            if tried.outcome == seen.Outcome.REFUSED:
                self._verdict.checked[Rule.REFUSED.value] += 1
                if runs:
                    detail = f"{_name(tried)} got {tried.status} by {tried.gateway} and has run"
                    self._verdict.add(Rule.REFUSED, tried.ended, detail)

    def _check_answers(self) -> None:
        """MIXED and DENIED: an answer is the server's, and proper requests are not turned away for good."""
        for tried in self._tries.values():
            if tried.outcome == seen.Outcome.MIXED:
                self._verdict.add(Rule.MIXED, tried.ended, f"{_name(tried)}: {tried.detail}")
            elif tried.outcome == seen.Outcome.SERVED:
                self._verdict.checked[Rule.MIXED.value] += 1
                servers = {arrival.server for arrival in self._arrivals[tried.request]}
                if not self._ran[tried.request] or tried.detail not in servers:
                    detail = f"{_name(tried)} was answered for {tried.detail}, which did not run it"
                    self._verdict.add(Rule.MIXED, tried.ended, detail)
            elif tried.outcome == seen.Outcome.FAILED and tried.detail:
                detail = f"{_name(tried)} got {tried.status} by {tried.gateway}"
                self._verdict.add(Rule.DENIED, tried.ended, detail)

    # -- servers that leave

    def _check_leaves(self) -> None:
        """DRAIN: nothing reaches a server later than DrainMs after its leave was acknowledged."""
        leaves = {one.server: one.at for one in self._of(seen.LeaveAcknowledged)}
        self._verdict.checked[Rule.DRAIN.value] = len(leaves)
        for arrival in self._of(seen.Arrived):
            left = leaves.get(arrival.server)
            if left is not None and arrival.at > left + DRAIN:
                late = (arrival.at - left) / 1000
                self._late(Rule.DRAIN, arrival, f"{late:.0f} ms after its leave was acknowledged")

    def _check_evacuations(self) -> None:
        """EVAC: nothing reaches a zone later than EvacuateMs after its evacuation was acknowledged."""
        spans: defaultdict[str, list[tuple[int, int | None]]] = defaultdict(list)
        for order in sorted(self._of(seen.Evacuated), key=lambda one: one.invoked):
            known = spans[order.zone]
            if order.begin and order.acknowledged:
                known.append((order.ended, None))
            elif not order.begin and known and known[-1][1] is None:
                known[-1] = (known[-1][0], order.invoked)
                self._verdict.checked[Rule.EVAC.value] += order.invoked > known[-1][0] + EVACUATE
        for arrival in self._of(seen.Arrived):
            for began, ended in spans[arrival.zone]:
                if arrival.at > began + EVACUATE and (ended is None or arrival.at < ended):
                    late = (arrival.at - began) / 1000
                    self._late(Rule.EVAC, arrival, f"{late:.0f} ms after the evacuation of {arrival.zone}")

    def _late(self, rule: Rule, arrival: seen.Arrived, detail: str) -> None:
        """A late arrival, unless the gateway was out of touch or the server's process held up."""
        if self._refusals.get((arrival.request, arrival.server)) == HTTPStatus.MISDIRECTED_REQUEST:
            return
        gateway = self._gateway(arrival.request)
        actor = f"servers-{self._regions[arrival.zone]}"
        if not self._troubles.in_touch(gateway, arrival.at) or self._troubles.held_up(actor, arrival.at):
            self._verdict.excused[rule.value] += 1
            return
        detail = f"request {arrival.request} by {gateway} reached {arrival.server} {detail}"
        self._verdict.add(rule, arrival.at, detail)

    # -- operators

    def _check_orders(self) -> None:
        """CONFIG: orders and reads are one history; what was acknowledged is acknowledged again."""
        orders, reads = list(self._of(seen.Ordered)), list(self._of(seen.ReadBack))
        self._verdict.checked["CONFIG orders"] = len(orders)
        self._verdict.checked["CONFIG reads"] = len(reads)
        fault = fault_of_orders(orders, reads)
        if fault is not None:
            self._verdict.add(Rule.CONFIG, 0, str(fault))
        if orders and not any(read.final for read in reads):
            self._verdict.add(Rule.CONFIG, 0, "no configuration could be read at the end")
        for order in orders:
            if order.repeat_status not in (0, HTTPStatus.OK):
                detail = (
                    f"order {order.number} was acknowledged, and got {order.repeat_status} when it came again"
                )
                self._verdict.add(Rule.CONFIG, order.ended, detail)

    # -- planned work

    def _check_losses(self) -> None:
        """LOST: without unplanned trouble near, a request that was read gets a whole answer."""
        for tried in self._tries.values():
            if not tried.read:
                continue
            if not self._troubles.calm(tried.began, tried.ended):
                self._verdict.excused[Rule.LOST.value] += tried.outcome == seen.Outcome.CLOSED
                continue
            self._verdict.checked[Rule.LOST.value] += 1
            self._verdict.checked[f"calm {tried.outcome}"] += 1
            spent = (tried.ended - tried.began) / 1000 > SPENT_SHARE * tried.deadline_ms
            if tried.outcome != seen.Outcome.CLOSED or spent:
                continue
            passed_on = bool(self._arrivals[tried.request])
            late = tried.ended - tried.read > LOSS_SLACK
            if passed_on or (late and not self._troubles.lagged(f"clients-{tried.region}", *_span(tried))):
                detail = f"{_name(tried)} to {tried.gateway}: closed after status {tried.status}"
                detail += f" {(tried.ended - tried.read) / 1000:.0f} ms after it was sent"
                detail += ", passed on" if passed_on else ", not passed on"
                detail += ", first on its connection" if tried.fresh else ", on a kept connection"
                self._verdict.add(Rule.LOST, tried.ended, detail)

    # -- processes

    def _check_processes(self) -> None:
        """ENDED and LOG: processes end when they are made to, and nothing in their logs says otherwise."""
        for end in self._of(seen.ProcessEnded):
            self._verdict.checked[Rule.ENDED.value] += 1
            if end.fault:
                self._verdict.add(Rule.ENDED, end.at, f"{end.process} {end.fault} (status {end.status})")
        for fault in self._of(seen.LogFault):
            self._verdict.add(Rule.LOG, 0, f"{fault.process}: {fault.line}")

    def _check_recovery(self) -> None:
        """RECOVER: after healing all is back in a bounded time, and clients of each region are served."""
        for recovery in self._of(seen.Recovery):
            self._verdict.checked[Rule.RECOVER.value] += 1
            for missing in recovery.missing:
                self._verdict.add(Rule.RECOVER, recovery.ended, f"{missing}, though all was healed")
            if not recovery.missing:
                self._check_served(recovery.ended)

    def _has_server(self, tried: seen.Tried) -> bool:
        """Whether a server that may take the request, by each version that may hold, was there to stay."""
        rules = self._versions.rules((tried.host, tried.path), tried.began, tried.ended, True)
        return all(
            any(
                server.service in rule.services
                and (not rule.homes or self._regions[server.zone] in rule.homes)
                and not self._troubles.leaving(server.id, tried.began, tried.ended)
                for server in self._servers
            )
            for rule in rules
        )

    def _check_served(self, since: int) -> None:
        for region in sorted(set(self._regions.values())):
            for host in HOSTS:
                tries = [
                    one
                    for one in self._tries.values()
                    if one.region == region
                    and one.host == host
                    and since <= one.began <= since + SERVED_SECONDS
                    and one.outcome != seen.Outcome.UNREACHED
                ]
                possible = [one for one in tries if self._has_server(one)]
                if tries and not possible:
                    self._verdict.excused[Rule.RECOVER.value] += 1
                    continue
                tries = possible
                served = sum(one.outcome == seen.Outcome.SERVED for one in tries)
                if not tries or served < SERVED_SHARE * len(tries):
                    detail = f"clients of {region} on {host}: {served} of {len(tries)} requests served"
                    self._verdict.add(Rule.RECOVER, since, f"{detail} after the recovery")


def _name(tried: seen.Tried) -> str:
    return f"{tried.kind} request {tried.request} on {tried.host}{tried.path} from {tried.region}"


def _span(tried: seen.Tried) -> tuple[int, int]:
    return tried.began, tried.ended
