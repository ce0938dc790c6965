"""A whole small system on loopback: real role processes, stand-in servers and clients."""
