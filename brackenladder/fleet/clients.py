"""Clients, and the load balancer in front of the nodes, in virtual time; they act like the stand-ins."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from brackenladder.fleet.nodes import FleetCall, Node
from brackenladder.fleet.queue import Queue, Timer
from brackenladder.rehearsal.events import Answered, Broken, Event, GaveUp, Sent, Unreached
from brackenladder.rehearsal.plan import RequestPlan, node_name
from brackenladder.rehearsal.scenario import Scenario

GIVE_UP_MARGIN = 1_000_000  # microseconds that a client waits beyond its deadline, like the stand-in clients
ID_MASK = 0xFFFFFFFFFFFFFFFF


class RequestTry:
    """A first send or a retry of a request by its client; each try has an id of its own."""

    __slots__ = ("clients", "plan", "number", "name", "node", "call", "timer", "sent", "reused", "finished")

    def __init__(self, clients: Clients, plan: RequestPlan, number: int) -> None:
        self.clients = clients
        self.plan = plan
        self.number = number
        self.name = f"{(int(plan.id, 16) + number) & ID_MASK:016x}"
        self.node = ""
        self.call: FleetCall | None = None
        self.timer: Timer | None = None
        self.sent = 0
        self.reused = False
        self.finished = False

    def node_answered(self, status: int, advice: float) -> None:
        """The node has answered; the answer arrives one network delay later."""
        clients = self.clients
        clients.queue.after(clients.delay, self.answer_arrived, status, advice)

    def answer_arrived(self, status: int, advice: float) -> None:
        if self.finish():
            clients = self.clients
            clients.record(Answered(clients.queue.now, self.name, status, True, advice))
            if not self.plan.drop and not clients.nodes[self.node].closing:
                clients.idle_connections[self.node] += 1
            clients.try_ended(self, status, advice)

    def node_ended(self) -> None:
        """Handles a node that was killed, or that was down when the request arrived."""
        clients = self.clients
        clients.queue.after(clients.delay, self.connection_closed)

    def connection_closed(self) -> None:
        """Handles the close of the connection, once the client sees it."""
        if not self.finish():
            return
        clients = self.clients
        clients.record(Broken(clients.queue.now, self.name, False))
        if self.reused and clients.queue.now - self.sent < clients.slack:
            # The node closed the reused connection while the request was on its way: send it again.
            retry = RequestTry(clients, self.plan, self.number)
            retry.name = f"{int(self.name, 16) ^ (1 << 63):016x}"
            clients.dispatch(retry, alone=True)
        else:
            clients.try_ended(self, 0, 0.0)

    def give_up(self, early: bool) -> None:
        call = self.call
        if self.finish():
            clients = self.clients
            clients.record(GaveUp(clients.queue.now, self.name, early))
            clients.queue.after(clients.delay, clients.nodes[self.node].client_left, call)
            clients.try_ended(self, 0, 0.0)

    def finish(self) -> bool:
        """Finishes the try; returns False if it had finished already."""
        if self.finished:
            return False
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
        self.call = None  # breaks the reference cycle between the try and its call
        return True


class Clients:
    """All clients (open loop): they send at planned times, whatever the answers."""

    def __init__(
        self,
        scenario: Scenario,
        queue: Queue,
        begin: int,
        nodes: Mapping[str, Node],
        record: Callable[[Event], None],
        delay: int,
    ) -> None:
        self.scenario = scenario
        self.queue = queue
        self.begin = begin
        self.nodes = nodes
        self.record = record
        self.delay = delay
        self.names = [node_name(i) for i in range(scenario.nodes)]
        self.accepting = dict.fromkeys(self.names, True)  # by node: whether it gets new connections
        self.idle_connections = dict.fromkeys(self.names, 0)  # idle kept-alive connections by node
        self.slack = round(scenario.rules.slack_ms * 1000)
        self.give_up_margin = (
            round((scenario.rules.answer_ms + scenario.rules.slack_ms) * 1000) + GIVE_UP_MARGIN
        )
        self.deadlines = [round(klass.deadline_ms * 1000) for klass in scenario.classes]
        self.counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0, "unreached": 0}

    def send_first(self, plan: RequestPlan) -> None:
        """Sends the first try of a request."""
        self.dispatch(RequestTry(self, plan, 0))

    def send_retry(self, plan: RequestPlan, number: int) -> None:
        self.dispatch(RequestTry(self, plan, number))

    def choose_node(self, request_try: RequestTry, alone: bool) -> str:
        """The node for a try: the planned one, or the next one that accepts it."""
        first = request_try.plan.node + request_try.number
        for offset in range(len(self.names)):
            name = self.names[(first + offset) % len(self.names)]
            if self.accepting[name] or (self.idle_connections[name] and not alone):
                return name
        return self.names[request_try.plan.node]

    def dispatch(self, request_try: RequestTry, alone: bool = False) -> None:
        """Sends a try on an idle connection to its node, or on a new one (`alone` forces a new one)."""
        request_try.node = self.choose_node(request_try, alone)
        if self.idle_connections[request_try.node] and not alone:
            self.idle_connections[request_try.node] -= 1
            request_try.reused = True
            self.send(request_try)
        else:
            self.queue.after(2 * self.delay, self.connected, request_try)

    def connected(self, request_try: RequestTry) -> None:
        """The connection attempt has succeeded or been refused."""
        if self.nodes[request_try.node].up:
            self.send(request_try)
        else:
            self.record(Unreached(self.queue.now, request_try.name, request_try.node))
            self.try_ended(request_try, -1, 0.0)

    def send(self, request_try: RequestTry) -> None:
        plan, now = request_try.plan, self.queue.now
        left = self.begin + plan.at + self.deadlines[plan.klass] - now
        budget = min(plan.budgets[min(request_try.number, len(plan.budgets) - 1)], left) // 1000 * 1000
        if budget <= 0:
            return
        request_try.sent = now
        self.counts["sent"] += 1
        self.record(
            Sent(now, request_try.name, request_try.node, plan.klass, budget, now, request_try.reused)
        )
        early = plan.leave if not request_try.number else 0
        request_try.timer = self.queue.after(
            early or budget + self.give_up_margin, request_try.give_up, bool(early)
        )
        call = FleetCall(
            request_try.name,
            plan.klass,
            plan.tenant,
            budget,
            request_try.number > 0,
            request_try.node_answered,
            request_try.node_ended,
        )
        request_try.call = call
        self.queue.after(self.delay, self.nodes[request_try.node].receive_call, call)

    def try_ended(self, request_try: RequestTry, status: int, advice: float) -> None:
        """Counts a finished try and schedules a retry if allowed.

        `status`: HTTP status, 0 if the try was broken or given up, -1 if the node was not reached.
        """
        plan, number = request_try.plan, request_try.number
        refused = status == 503
        left = plan.leave and not number and status == 0
        safe = self.scenario.classes[plan.klass].effect == "safe"
        harmless = refused or status == -1 or (safe and status != 200 and not left)
        names = {200: "served", 503: "refused", -1: "unreached"}
        self.counts[names.get(status, "failed")] += 1
        if harmless and number < self.scenario.clients.retries:
            wait = round(advice * 1e6) or plan.waits[number]
            if self.queue.now + wait < self.begin + plan.at + self.deadlines[plan.klass]:
                self.queue.after(wait, self.send_retry, plan, number + 1)

    def node_ended(self, node: str) -> None:
        """Forgets the connections to a node whose process has ended."""
        self.idle_connections[node] = 0
