"""Listening sockets and accepted connections, independent of the protocol."""
