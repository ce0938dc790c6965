"""Operator commands of a node: parsing, suspending servers, and pausing the node. Pure logic without I/O."""
