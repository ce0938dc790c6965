"""The tunable parameters of placement, with validation; docs/decisions.md explains their values."""

from __future__ import annotations

from attrs import field, frozen, validators

_COST = validators.ge(0.0)


@frozen
class PlacementParameters:
    """The defaults are the values in production; 0 disables a mechanism if the field says so.

    Costs are in microseconds of the time until the first event.
    """

    # Cost of a token whose prefill is repeated at another server, besides the prefill time.
    read_again: float = field(default=150.0, validator=_COST)
    # Cost of a byte sent to another zone of the region; 0: only the round-trip times of zones differ.
    zone_byte: float = field(default=3.6, validator=_COST)
    # Cost of a call to another region, besides its round-trip time.
    region_price: float = field(default=100_000.0, validator=_COST)
    # Cost of each stream running at a server, per token of the expected answer.
    stream_cost: float = field(default=30.0, validator=_COST)
    # Cost of a server that has just rejected a call.
    pressed_cost: float = field(default=300_000.0, validator=_COST)
    # Cost of a server whose KV cache has no room for the call: its prefill would be repeated.
    memory_cost: float = field(default=1_000_000.0, validator=_COST)
    # Part of the shared tokens assumed to be cached at the server that hashing assigns to the prompt.
    shared_read: float = field(default=0.5, validator=_COST)
    # For prompts of at least this many tokens, the costs at all servers of the region are compared; 0: never.
    scanned_tokens: int = field(default=4_000, validator=validators.ge(0))
    # Total weight of late and unanswered calls at which a server is suspected; 0: none ever is.
    doubt_weight: int = field(default=3, validator=validators.ge(0))
    # An attempt that can be retried times out when its first event is overdue, not after half the time left.
    quick_retry: bool = True


DEFAULT_PARAMETERS = PlacementParameters()
