"""Decisions for a node's operators: their calls, servers held back, a node that pauses. Pure."""
