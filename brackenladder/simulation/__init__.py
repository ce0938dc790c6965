"""Whole control nodes, gateways' control side, operators and servers in one process and in virtual time."""
