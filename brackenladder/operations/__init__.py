"""Operator commands of a node: parsing, servers on hold, and pausing the node. Pure logic without I/O."""
