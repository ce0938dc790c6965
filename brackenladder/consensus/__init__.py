"""The replicated log: election, replication, membership changes and snapshots; no I/O, no clock."""
