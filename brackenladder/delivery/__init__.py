"""Delivery of configuration and server lists from control nodes to gateways; no I/O, no clock."""
