"""A gateway's share of bounds that hold for all gateways together."""
