"""A small complete system on loopback: real node processes, stand-in servers and clients."""
