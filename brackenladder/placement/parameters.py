"""The figures that placement decides by, in one checked record; docs/decisions.md names their sources."""

from __future__ import annotations

from attrs import field, frozen, validators

_COST = validators.ge(0.0)


@frozen
class PlacementParameters:
    """The defaults are the values in service; 0 switches a mechanism off where a field says so.

    Costs are microseconds of a first event's time.
    """

    # A token that is read again, beside the time of its reading.
    read_again: float = field(default=150.0, validator=_COST)
    # A byte that goes to another zone of the region; 0: zones are told apart by their ways only.
    zone_byte: float = field(default=3.6, validator=_COST)
    # A call that goes to another region, beside its way.
    region_price: float = field(default=100_000.0, validator=_COST)
    # A stream that a server runs, for each token of the answer to come.
    stream_cost: float = field(default=30.0, validator=_COST)
    # A server that has just turned a call away as full.
    pressed_cost: float = field(default=300_000.0, validator=_COST)
    # A server whose memory would not hold the call: it would be read again.
    memory_cost: float = field(default=1_000_000.0, validator=_COST)
    # The part of the shared tokens that has probably been read at a prompt's own server.
    shared_read: float = field(default=0.5, validator=_COST)
    # Tokens from which on a prompt is compared at all servers of the region, not at two draws; 0: none is.
    scanned_tokens: int = field(default=4_000, validator=validators.ge(0))
    # The weight of late and unanswered calls that makes a server doubted; 0: none is.
    doubt_weight: int = field(default=3, validator=validators.ge(0))
    # A try that may be repeated gets what its first event may take, not half of the time that is left.
    quick_retry: bool = True


DEFAULT_PARAMETERS = PlacementParameters()
