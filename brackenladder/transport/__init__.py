"""Connections between nodes that carry typed messages: over TCP, or within one process for tests."""
