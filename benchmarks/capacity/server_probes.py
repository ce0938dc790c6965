"""What servers and their heartbeats cost: registry, exchange, publisher, subscriber and codec, each alone."""

from __future__ import annotations

from attrs import evolve, frozen

from brackenladder.control_plane.instances import parse_heartbeat
from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.messages import Ack, ServersUpdate, UpdateKind
from brackenladder.delivery.publisher import Publisher
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.registry.exchange import HEARTBEAT_BATCH_INTERVAL
from brackenladder.registry.messages import ServersHeard
from brackenladder.registry.records import ServerRecord
from brackenladder.registry.registry import ServerRegistry
from brackenladder.transport.codec import Codec
from brackenladder.transport.framing import PREFIX_BYTES
from capacity.knowing import BEAT, Knowing
from capacity.target import Size
from capacity.timing import ROUNDS, Best, best_of, memory_of
from capacity.workload import FIRST_SEQ, hollow_server, presence, server_record


@frozen
class HeartbeatCosts:
    """One server's heartbeat at the control node that gets it, and at the peers that are told of it."""

    parse_us: float
    registry_us: float
    tell_us: float  # for each peer that is told
    take_us: float  # at each peer
    bytes_told: float  # for each peer that is told


@frozen
class ServerCosts:
    """Servers at a control node and at a gateway."""

    record_bytes_on_the_wire: float
    full_update_bytes: int
    encode_full_us: float  # for each subscriber
    decode_full_us: float
    merge_full_us: float  # of a gateway that knew nothing
    repeat_full_us: float  # of one that knew all of it from another control node
    control_record_memory: float  # bytes
    gateway_record_memory: float
    gateway_link_memory: float  # for each record, what every further control node adds
    change_control_us: float  # one server's change, for each subscriber
    change_gateway_us: float
    change_bytes: int
    expiry_scan_us: float


def heartbeat_costs(size: Size) -> HeartbeatCosts:
    """What one heartbeat costs that changes nothing; one control node hears all of its part."""
    part = max(1, size.servers // size.control_nodes)
    servers = [hollow_server(number, size) for number in range(part)]
    probe = _HeartbeatProbe()
    for _ in range(ROUNDS + 1):
        probe.beat([(server.id, server.body()) for server in servers])
    return HeartbeatCosts(
        parse_us=probe.parse.microseconds(part),
        registry_us=probe.register.microseconds(part),
        tell_us=probe.tell.microseconds(part),
        take_us=probe.take.microseconds(part),
        bytes_told=probe.bytes_told / part,
    )


def server_costs(size: Size) -> ServerCosts:
    """What servers cost to know, and to tell gateways of."""
    codec = control_codec()
    records = [server_record(number, size) for number in range(size.servers)]
    registry = _registry(records)
    publisher = Publisher(registry)
    publisher.subscribed("first", presence(0, size))
    updates = [
        delivery.message
        for delivery in publisher.take_messages(0, 0)
        if isinstance(delivery.message, ServersUpdate)
    ]
    frames = [codec.encode(update) for update in updates]
    total = sum(len(data) + PREFIX_BYTES for data in frames)
    change = _server_change(size, records)
    scan = _expiry_scan(records)
    merge, repeat = _merge_full(codec, frames)
    one, all_links = _gateway_memory(codec, frames, 1), _gateway_memory(codec, frames, size.links)
    return ServerCosts(
        record_bytes_on_the_wire=total / size.servers,
        full_update_bytes=total,
        encode_full_us=best_of(lambda: [codec.encode(update) for update in updates], 1),
        decode_full_us=best_of(lambda: [codec.decode(data) for data in frames], 1),
        merge_full_us=merge,
        repeat_full_us=repeat,
        control_record_memory=memory_of(lambda: _registry(_decoded(codec, frames))) / size.servers,
        gateway_record_memory=one / size.servers,
        gateway_link_memory=(all_links - one) / size.servers / max(1, size.links - 1),
        change_control_us=change.control_us,
        change_gateway_us=change.gateway_us,
        change_bytes=change.byte_count,
        expiry_scan_us=scan,
    )


@frozen
class _Change:
    control_us: float
    gateway_us: float
    byte_count: int


class _HeartbeatProbe:
    """One control node that hears servers, and a peer that it tells of them."""

    def __init__(self) -> None:
        self.parse, self.register, self.tell, self.take = Best(), Best(), Best(), Best()
        self.bytes_told = 0
        self._codec = control_codec()
        self._hears, self._told = Knowing(), Knowing()
        self._hears.exchange.peer_connected("peer")
        self._told.exchange.peer_connected("hearer")
        self._now = 0

    def beat(self, bodies: list[tuple[str, bytes]]) -> None:
        """One heartbeat of every server, told to the peer in one message."""
        self._now += BEAT
        with self.parse.round():
            records = [parse_heartbeat(server_id, body).unwrap() for server_id, body in bodies]
        with self.register.round():
            for record in records:
                self._hears.servers.heartbeat(self._now, record)
        for delivery in self._hears.exchange.take_messages(self._now + HEARTBEAT_BATCH_INTERVAL // 2):
            if isinstance(delivery.message, ServersHeard):
                self._tell(delivery.message)
            else:
                self._told.exchange.receive(self._now, "hearer", delivery.message)

    def _tell(self, message: ServersHeard) -> None:
        with self.tell.round():
            data = self._codec.encode(message)
        with self.take.round():
            self._told.exchange.receive(self._now, "hearer", self._codec.decode(data))
        self.bytes_told = PREFIX_BYTES + len(data)


def _registry(records: list[ServerRecord]) -> ServerRegistry:
    registry = ServerRegistry(4 * BEAT)
    for record in records:
        registry.heartbeat(0, record)
    return registry


def _decoded(codec: Codec, frames: list[bytes]) -> list[ServerRecord]:
    updates = [codec.decode(data) for data in frames]
    return [record for update in updates if isinstance(update, ServersUpdate) for record in update.records]


def _server_change(size: Size, records: list[ServerRecord]) -> _Change:
    """One server's change, told to every subscriber of a control node that was settled."""
    subscribers = max(1, round(size.subscribers))
    codec = control_codec()
    registry = _registry(records)
    publisher = Publisher(registry)
    gateway = Subscriber()
    for number in range(subscribers):
        publisher.subscribed(str(number), presence(number, size))
    _settle(publisher, gateway)
    control, taken, size_of_change = Best(), Best(), 0
    first = records[0]
    for round_number in range(ROUNDS):
        registry.heartbeat(0, evolve(first, slots=65 + round_number, seq=FIRST_SEQ + 1 + round_number))
        with control.round():
            frames = [codec.encode(delivery.message) for delivery in publisher.take_messages(0, 0)]
            for number in range(subscribers):
                publisher.acknowledged(str(number), Ack(UpdateKind.SERVERS, registry.version))
            publisher.take_messages(0, 0)
        size_of_change = PREFIX_BYTES + len(frames[0])
        with taken.round():
            gateway.receive(0, "control", codec.decode(frames[0]))
    return _Change(control.microseconds(subscribers), taken.microseconds(1), size_of_change)


def _settle(publisher: Publisher, gateway: Subscriber) -> None:
    """Let one gateway take all, and count everything as taken by the others."""
    deliveries = publisher.take_messages(0, 0)
    for delivery in deliveries:
        if delivery.subscriber == "0":
            gateway.receive(0, "control", delivery.message)
        if isinstance(delivery.message, ServersUpdate) and delivery.message.last:
            publisher.acknowledged(delivery.subscriber, Ack(UpdateKind.SERVERS, delivery.message.sequence))
    publisher.take_messages(0, 0)


def _expiry_scan(records: list[ServerRecord]) -> float:
    """One look at all servers for silence, with the one for doubts."""
    registry = _registry(records)
    registry.expire(0)
    registry.expire(3 * BEAT - 1)

    def scan() -> None:
        registry._expiry_check_at = 0  # as after the earliest end was put off by a heartbeat
        registry._suspect_check_at = 0
        registry.expire(2 * BEAT)
        registry.take_suspects(2 * BEAT)

    return best_of(scan, 1)


def _merge_full(codec: Codec, frames: list[bytes]) -> tuple[float, float]:
    first, repeated = Best(), Best()
    for _ in range(3):
        updates = [codec.decode(data) for data in frames]
        gateway = Subscriber()
        with first.round():
            for update in updates:
                gateway.receive(0, "one", update)
        again = [codec.decode(data) for data in frames]
        with repeated.round():
            for update in again:
                gateway.receive(0, "other", update)
    return first.microseconds(1), repeated.microseconds(1)


def _gateway_memory(codec: Codec, frames: list[bytes], links: int) -> int:
    def build() -> Subscriber:
        gateway = Subscriber()
        for link in range(links):
            gateway.connected(0, str(link))
            for data in frames:
                gateway.receive(0, str(link), codec.decode(data))
        return gateway

    return memory_of(build)
