"""What prefix notices cost: a control node that relays them, a gateway that takes them."""

from __future__ import annotations

from random import Random

from attrs import frozen

from brackenladder.control_plane.wire import control_codec
from brackenladder.placement.cost import CostModel
from brackenladder.placement.in_flight import InFlight
from brackenladder.placement.silent_zones import SilentZones
from brackenladder.placement.site import ServerLocation, ServiceSite
from brackenladder.prefix_cache.announcer import PrefixAnnouncer
from brackenladder.prefix_cache.messages import PrefixNotice, PrefixNotices
from brackenladder.prefix_cache.relay import INTERVAL, MAX_NOTICES, PrefixRelay, Receiver
from brackenladder.transport.framing import PREFIX_BYTES
from capacity.target import Size
from capacity.timing import best_of, memory_of

PREFIXES = 2_000  # that notices name
MESSAGES = 50  # of a round
KV_TOKENS = 240_000


@frozen
class PrefixCosts:
    """A full message of notices, of `MAX_NOTICES`."""

    message_bytes: int
    relay_us: float  # taken from a gateway, told to the gateways of one control node, each encoded
    relayed_to: int  # gateways
    gateway_us: float  # decoded and taken into placement
    gateway_memory: int  # of all that a gateway then keeps


def prefix_costs(size: Size) -> PrefixCosts:
    """What it costs where notices come as fast as they are sent."""
    codec = control_codec()
    messages = [PrefixNotices(_notices(size, Random(number))) for number in range(MESSAGES)]
    encoded = [codec.encode(message) for message in messages]
    gateways = max(1, size.gateways // size.control_nodes)
    relay = PrefixRelay(0)
    for number in range(gateways):
        relay.set_subscribed(str(number), wanted=True)
    relay.take(0)
    now = 0

    def relayed() -> None:
        nonlocal now
        for data in encoded:
            now += INTERVAL
            message = codec.decode(data)
            assert isinstance(message, PrefixNotices)
            relay.from_gateway(now, "0", message)
            for due in relay.take(now):
                if due.receiver is Receiver.GATEWAY:
                    codec.encode(due.message)

    in_flight = _in_flight(size)

    def taken() -> None:
        for data in encoded:
            message = codec.decode(data)
            assert isinstance(message, PrefixNotices)
            in_flight.apply_notices(now, message.notices)

    def kept() -> InFlight:
        made = _in_flight(size)
        for message in messages:
            made.apply_notices(0, message.notices)
        return made

    return PrefixCosts(
        message_bytes=PREFIX_BYTES + len(encoded[0]),
        relay_us=best_of(relayed, MESSAGES),
        relayed_to=gateways,
        gateway_us=best_of(taken, MESSAGES),
        gateway_memory=memory_of(kept),
    )


def _notices(size: Size, random: Random) -> tuple[PrefixNotice, ...]:
    notices = []
    for _ in range(MAX_NOTICES):
        prefix = random.randrange(PREFIXES)
        server = _server(random.randrange(size.servers))
        notices.append(PrefixNotice(server, (1 << 63, (1 << 62) + prefix), (2_500, 3_800), 9_000))
    return tuple(notices)


def _server(number: int) -> int:
    return (number + 1) << 40


def _in_flight(size: Size) -> InFlight:
    site = ServiceSite("zone-1", "region-1", kv_tokens=KV_TOKENS, gateways=size.gateways)
    site.locations = {
        _server(number): ServerLocation(str(number), "zone-1", "region-1", 64)
        for number in range(size.servers)
    }
    return InFlight(site, CostModel(site), SilentZones(), PrefixAnnouncer(lambda: None))
