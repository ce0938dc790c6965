"""Registries of servers and gateways: merging, expiry, replication between nodes; no I/O, no clock."""
