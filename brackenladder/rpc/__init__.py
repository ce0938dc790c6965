"""MessagePack-RPC: the codec, and what comes on it."""
