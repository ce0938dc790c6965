"""Recovery of the desired state from other nodes after a restart. Without I/O or a clock."""
