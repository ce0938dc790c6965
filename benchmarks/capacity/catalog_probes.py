"""What the configuration and the presence of gateways cost: catalog, delivery and codec, each alone."""

from __future__ import annotations

from attrs import frozen

from brackenladder.catalog.catalog import Catalog
from brackenladder.catalog.configuration import parse_configuration
from brackenladder.control_plane.wire import control_codec
from brackenladder.delivery.documents import pack
from brackenladder.delivery.messages import CatalogUpdate, Subscribe
from brackenladder.delivery.publisher import Publisher
from brackenladder.delivery.subscriber import Subscriber
from brackenladder.registry.gateways import GatewayRegistry
from brackenladder.registry.messages import GatewaysTold
from brackenladder.registry.registry import ServerRegistry
from brackenladder.transport.codec import Codec
from brackenladder.transport.framing import PREFIX_BYTES
from capacity.knowing import Knowing
from capacity.target import Size
from capacity.timing import ROUNDS, Best, best_of, memory_of
from capacity.workload import configuration_document, presence, replacing_order, updating_order


@frozen
class CatalogCosts:
    """The configuration at a control node and at a gateway."""

    document_bytes: int
    update_bytes: int  # as it is sent to a gateway
    order_bytes: int  # of a change of one route, as it is in the log
    apply_us: float
    pack_us: float
    encode_us: float  # for each subscriber
    read_us: float  # at the gateway: decode, decompress, parse
    configuration_memory: int


@frozen
class PresenceCosts:
    """A gateway's presence at a control node."""

    message_bytes: int
    take_us: float  # one message, with what the host does for each
    peer_bytes: float  # of one gateway, as peers are told of it
    peer_tell_us: float  # for each peer and gateway
    peer_take_us: float
    gateway_memory: float
    subscription_memory: float


def catalog_costs(size: Size) -> CatalogCosts:
    """What a configuration of this many routes costs, and a change of one of them."""
    codec = control_codec()
    document = configuration_document(1, size.routes)
    packed = pack(document)
    update = CatalogUpdate(2, 2, packed.data, packed.compressed)
    data = codec.encode(update)
    order = updating_order(1, 2, route=0)
    return CatalogCosts(
        document_bytes=len(document),
        update_bytes=PREFIX_BYTES + len(data),
        order_bytes=len(order),
        apply_us=_apply_change(size, order),
        pack_us=best_of(lambda: pack(document), 1),
        encode_us=best_of(lambda: codec.encode(update), 1),
        read_us=_read_catalog(codec, data),
        configuration_memory=memory_of(lambda: parse_configuration(document)),
    )


def presence_costs(size: Size) -> PresenceCosts:
    """What the presence of this many gateways costs at one control node that knows them all."""
    codec = control_codec()
    registry = GatewayRegistry()
    publisher = Publisher(ServerRegistry())
    knowing = Knowing()
    messages = [codec.encode(presence(number, size)) for number in range(size.gateways)]

    def beat() -> None:
        for number, data in enumerate(messages):
            message = _subscribe(codec, data)
            publisher.subscribed(str(number), message)
            registry.record_presence(0, message.gateway)
            publisher.set_gateways(registry.count_living(0))
            knowing.exchange.take_messages(0)
            publisher.take_messages(0, 0)

    beat()
    told = GatewaysTold(registry.list_living(0))
    data = codec.encode(told)
    return PresenceCosts(
        message_bytes=PREFIX_BYTES + len(messages[-1]),
        take_us=best_of(beat, size.gateways),
        peer_bytes=len(data) / size.gateways,
        peer_tell_us=best_of(lambda: codec.encode(told), size.gateways),
        peer_take_us=best_of(lambda: knowing.exchange.receive(0, "peer", codec.decode(data)), size.gateways),
        gateway_memory=memory_of(lambda: _gateway_registry(codec, messages)) / size.gateways,
        subscription_memory=memory_of(lambda: _publisher_of(codec, messages)) / size.gateways,
    )


def _apply_change(size: Size, order: bytes) -> float:
    first = replacing_order(1, size.routes)
    best = Best()
    for _ in range(3):
        catalog = Catalog()
        catalog.apply(1, first)
        with best.round():
            catalog.apply(2, order)
        assert catalog.revision == 2
    return best.microseconds(1)


def _read_catalog(codec: Codec, data: bytes) -> float:
    best = Best()
    for _ in range(ROUNDS):
        gateway = Subscriber()
        with best.round():
            gateway.receive(0, "control", codec.decode(data))
        assert gateway.view.configuration is not None
    return best.microseconds(1)


def _subscribe(codec: Codec, data: bytes) -> Subscribe:
    message = codec.decode(data)
    assert isinstance(message, Subscribe)
    return message


def _gateway_registry(codec: Codec, messages: list[bytes]) -> GatewayRegistry:
    registry = GatewayRegistry()
    for data in messages:
        registry.record_presence(0, _subscribe(codec, data).gateway)
    return registry


def _publisher_of(codec: Codec, messages: list[bytes]) -> Publisher:
    publisher = Publisher(ServerRegistry())
    for number, data in enumerate(messages):
        publisher.subscribed(str(number), _subscribe(codec, data))
    return publisher
