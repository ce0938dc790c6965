"""A complete system on one computer: its nodes and addresses, its processes, its first configuration."""
