"""MessagePack-RPC: the codec, the front for clients, and the upstream to servers."""
