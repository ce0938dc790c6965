"""Checks the recorded events of a soak against the rules. Pure: no I/O, no clock."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from http import HTTPStatus
from typing import TypeVar

from brackenladder.platform_settings import DEFAULT_BOUNDS
from brackenladder.soak import events as seen
from brackenladder.soak.configuration import CALLS, HOSTS
from brackenladder.soak.contact import FaultTimeline
from brackenladder.soak.requests import RequestIndex, check_runs, describe
from brackenladder.soak.site import SoakLayout
from brackenladder.soak.verdict import Rule, Verdict
from brackenladder.soak.versions import Versions, first_order_violation

DRAIN = round(DEFAULT_BOUNDS.drain_ms * 1000)  # microseconds
EVACUATE = round(DEFAULT_BOUNDS.evacuate_ms * 1000)
LOSS_SLACK = round(DEFAULT_BOUNDS.loss_slack_ms * 1000)
# Rule LOST requires a complete answer to each fully sent request. A connection that closes after this share
# of the request's deadline does not break the rule.
USED_DEADLINE_SHARE = 0.7
SERVED_WINDOW = 3_000_000  # microseconds after the recovery in which each region's clients must get answers
SERVED_SHARE = 0.25
T = TypeVar("T")


def judge(events: list[seen.Event], layout: SoakLayout) -> Verdict:
    """Checks every rule against the events."""
    return _Checker(events, layout).verdict()


class _Checker:
    """Indexes of the events, with one check method per rule or group of rules."""

    def __init__(self, events: list[seen.Event], layout: SoakLayout) -> None:
        self._events = events
        self._regions = layout.zones
        self._servers = layout.servers()
        self._gateways = {machine.front: machine for machine in layout.gateways}
        self._directories = {machine.directory: machine.name for machine in layout.control}
        self._requests = RequestIndex(events)
        self._troubles = FaultTimeline(events, [machine.name for machine in layout.control])
        self._versions = Versions(self._events_of(seen.Ordered))
        self._verdict = Verdict()

    def verdict(self) -> Verdict:
        """Runs all checks."""
        found = self._verdict
        found.outcomes.update(one.outcome for one in self._requests.tries)
        found.began = self._requests.tries[0].began if self._requests.tries else 0
        check_runs(self._requests, found)
        for check in (
            self._check_arrivals,
            self._check_directory,
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

    def _events_of(self, kind: type[T]) -> Iterable[T]:
        return (event for event in self._events if isinstance(event, kind))

    def _gateway(self, arrival: seen.Arrived) -> str:
        """Name of the gateway that a request which arrived at a server was sent to."""
        tried = self._requests.try_of(arrival)
        machine = self._gateways.get(tried.gateway) if tried else None
        return machine.name if machine else ""

    # -- requests

    def _check_arrivals(self) -> None:
        """HOME, CONFIG and UNASKED: each request at a server was sent by a client and is allowed there."""
        for arrivals in self._requests.arrivals.values():
            for arrival in arrivals:
                tried = self._requests.try_of(arrival)
                if tried is None or tried.path != arrival.path:
                    detail = f"unknown request {arrival.request} {arrival.path} reached {arrival.server}"
                    self._verdict.add(Rule.UNASKED, arrival.at, detail)
                    continue
                self._check_arrival(arrival, tried)

    def _check_arrival(self, arrival: seen.Arrived, tried: seen.Tried) -> None:
        in_contact = self._troubles.in_contact(self._gateway(arrival), arrival.at)
        route = (tried.host, tried.path)
        rules = self._versions.rules(route, tried.began, arrival.at, in_contact)
        self._verdict.checked[Rule.CONFIG.value] += in_contact
        if not any(arrival.service in rule.services for rule in rules):
            detail = f"{describe(tried)} ran at {arrival.server} of {arrival.service} through {tried.gateway}"
            self._verdict.add(Rule.CONFIG, arrival.at, detail)
        region = self._regions[arrival.zone]
        self._verdict.checked[Rule.HOME.value] += any(rule.homes for rule in rules)
        if not any(not rule.homes or region in rule.homes for rule in rules):
            homes = sorted(set().union(*(rule.homes for rule in rules)))
            detail = f"{describe(tried)} with homes {homes} reached {arrival.server} in {region}"
            self._verdict.add(Rule.HOME, arrival.at, f"{detail} through {tried.gateway}")

    def _check_directory(self) -> None:
        """HOME: a directory names only gateways in the client's region or in the host's home regions."""
        for answer in self._events_of(seen.Resolved):
            in_contact = self._troubles.in_contact(self._directories.get(answer.directory, ""), answer.at)
            routes = [(call.host, call.path) for call in CALLS if call.host == answer.host]
            rules = [
                rule
                for route in routes
                for rule in self._versions.rules(route, answer.at, answer.at, in_contact)
            ]
            if not rules or any(not rule.homes for rule in rules):
                continue
            self._verdict.checked["HOME by directory"] += 1
            allowed = {answer.region}.union(*(rule.homes for rule in rules))
            regions = {self._gateways[address].region for address in answer.addresses}
            if regions - allowed:
                detail = f"{answer.directory} sends a client in {answer.region} for {answer.host}"
                detail += f" (homes {sorted(allowed - {answer.region})}) to {sorted(regions - allowed)}"
                self._verdict.add(Rule.HOME, answer.at, detail)

    def _check_answers(self) -> None:
        """MIXED: an answer belongs to its request. DENIED: no valid request gets a non-retryable error."""
        for tried in self._requests.tries:
            if tried.outcome == seen.Outcome.MIXED:
                self._verdict.add(Rule.MIXED, tried.ended, f"{describe(tried)}: {tried.detail}")
            elif tried.outcome == seen.Outcome.SERVED:
                self._verdict.checked[Rule.MIXED.value] += 1
                servers = {arrival.server for arrival in self._requests.arrivals[tried.request]}
                if not self._requests.runs[tried.request] or tried.detail not in servers:
                    detail = f"{describe(tried)} was answered by {tried.detail}, which did not run it"
                    self._verdict.add(Rule.MIXED, tried.ended, detail)
            elif tried.outcome == seen.Outcome.FAILED and tried.detail:
                detail = f"{describe(tried)} got {tried.status} from {tried.gateway}"
                self._verdict.add(Rule.DENIED, tried.ended, detail)

    # -- servers that leave

    def _check_leaves(self) -> None:
        """DRAIN: no request reaches a server more than DrainMs after its leave was acknowledged."""
        leaves = {one.server: one.at for one in self._events_of(seen.LeaveAcknowledged)}
        self._verdict.checked[Rule.DRAIN.value] = len(leaves)
        for arrival in self._events_of(seen.Arrived):
            left = leaves.get(arrival.server)
            if left is not None and arrival.at > left + DRAIN:
                late = (arrival.at - left) / 1000
                self._late(Rule.DRAIN, arrival, f"{late:.0f} ms after its leave was acknowledged")

    def _check_evacuations(self) -> None:
        """EVAC: no request reaches a zone more than EvacuateMs after its evacuation was acknowledged."""
        spans: defaultdict[str, list[tuple[int, int | None]]] = defaultdict(list)
        for order in sorted(self._events_of(seen.Evacuated), key=lambda one: one.invoked):
            known = spans[order.zone]
            if order.begin and order.acknowledged:
                known.append((order.ended, None))
            elif not order.begin and known and known[-1][1] is None:
                known[-1] = (known[-1][0], order.invoked)
                self._verdict.checked[Rule.EVAC.value] += order.invoked > known[-1][0] + EVACUATE
        for arrival in self._events_of(seen.Arrived):
            for began, ended in spans[arrival.zone]:
                if arrival.at > began + EVACUATE and (ended is None or arrival.at < ended):
                    late = (arrival.at - began) / 1000
                    self._late(Rule.EVAC, arrival, f"{late:.0f} ms after the evacuation of {arrival.zone}")

    def _late(self, rule: Rule, arrival: seen.Arrived, detail: str) -> None:
        """Adds a violation for a late arrival.

        Excused if the gateway was out of contact with the control plane, or if the server's actor may have
        recorded the arrival too late.
        """
        if self._requests.refusals.get((arrival.request, arrival.server)) == HTTPStatus.MISDIRECTED_REQUEST:
            return
        gateway = self._gateway(arrival)
        actor = f"servers-{self._regions[arrival.zone]}"
        if not self._troubles.in_contact(gateway, arrival.at) or self._troubles.delayed(actor, arrival.at):
            self._verdict.excused[rule.value] += 1
            return
        detail = f"request {arrival.request} through {gateway} reached {arrival.server} {detail}"
        self._verdict.add(rule, arrival.at, detail)

    # -- operators

    def _check_orders(self) -> None:
        """CONFIG: orders and reads form a consistent history; a repeated order is acknowledged again."""
        orders, reads = list(self._events_of(seen.Ordered)), list(self._events_of(seen.ReadBack))
        self._verdict.checked["CONFIG orders"] = len(orders)
        self._verdict.checked["CONFIG reads"] = len(reads)
        fault = first_order_violation(orders, reads)
        if fault is not None:
            self._verdict.add(Rule.CONFIG, 0, str(fault))
        if orders and not any(read.final for read in reads):
            self._verdict.add(Rule.CONFIG, 0, "no configuration could be read at the end")
        for order in orders:
            if order.repeat_status not in (0, HTTPStatus.OK):
                detail = f"order {order.number} was acknowledged, but got {order.repeat_status} when repeated"
                self._verdict.add(Rule.CONFIG, order.ended, detail)

    # -- planned work

    def _check_losses(self) -> None:
        """LOST: a fully sent request gets a complete answer unless an unplanned fault is active or recent."""
        for tried in self._requests.tries:
            if not tried.read:
                continue
            if not self._troubles.undisturbed(tried.began, tried.ended):
                self._verdict.excused[Rule.LOST.value] += tried.outcome == seen.Outcome.CLOSED
                continue
            self._verdict.checked[Rule.LOST.value] += 1
            self._verdict.checked[f"calm {tried.outcome}"] += 1
            deadline_used = (tried.ended - tried.began) / 1000 > USED_DEADLINE_SHARE * tried.deadline_ms
            if tried.outcome != seen.Outcome.CLOSED or deadline_used:
                continue
            arrivals = self._requests.arrivals[tried.request]
            forwarded = any(arrival.at >= tried.began for arrival in arrivals)
            late = tried.ended - tried.read > LOSS_SLACK
            if forwarded or (late and not self._troubles.lagged(f"clients-{tried.region}", *_span(tried))):
                detail = f"{describe(tried)} to {tried.gateway}: closed after status {tried.status}"
                detail += f" {(tried.ended - tried.read) / 1000:.0f} ms after it was sent"
                detail += ", forwarded" if forwarded else ", not forwarded"
                detail += ", first on its connection" if tried.fresh else ", on a reused connection"
                self._verdict.add(Rule.LOST, tried.ended, detail)

    # -- processes

    def _check_processes(self) -> None:
        """ENDED and LOG: processes exit only when told to, and their logs hold no forbidden lines."""
        for end in self._events_of(seen.ProcessEnded):
            self._verdict.checked[Rule.ENDED.value] += 1
            if end.fault:
                self._verdict.add(Rule.ENDED, end.at, f"{end.process} {end.fault} (status {end.status})")
        for fault in self._events_of(seen.LogFault):
            self._verdict.add(Rule.LOG, 0, f"{fault.process}: {fault.line}")

    def _check_recovery(self) -> None:
        """RECOVER: once faults end, the system recovers in time and clients in each region are served."""
        for recovery in self._events_of(seen.Recovery):
            self._verdict.checked[Rule.RECOVER.value] += 1
            for missing in recovery.missing:
                self._verdict.add(Rule.RECOVER, recovery.ended, f"{missing}, though all faults had ended")
            if not recovery.missing:
                self._check_served(recovery.ended)

    def _had_eligible_server(self, tried: seen.Tried) -> bool:
        """Whether every configuration that may be in force had an eligible server that was not leaving."""
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
                    for one in self._requests.tries
                    if one.region == region
                    and one.host == host
                    and since <= one.began <= since + SERVED_WINDOW
                    and one.outcome != seen.Outcome.UNREACHED
                ]
                possible = [one for one in tries if self._had_eligible_server(one)]
                if tries and not possible:
                    self._verdict.excused[Rule.RECOVER.value] += 1
                    continue
                tries = possible
                served = sum(one.outcome == seen.Outcome.SERVED for one in tries)
                if not tries or served < SERVED_SHARE * len(tries):
                    detail = f"clients of {region} on {host}: {served} of {len(tries)} requests served"
                    self._verdict.add(Rule.RECOVER, since, f"{detail} after the recovery")


def _span(tried: seen.Tried) -> tuple[int, int]:
    return tried.began, tried.ended
