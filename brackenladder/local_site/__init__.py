"""A whole system on one machine: its machines and addresses, its processes, its first configuration."""
