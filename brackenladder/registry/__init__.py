"""Servers known by their heartbeats: merging, ageing, what gateways are told; no I/O, no clock."""
