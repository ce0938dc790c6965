"""Runs control nodes, the control side of gateways, operators and servers in one process in virtual time."""
