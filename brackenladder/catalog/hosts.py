"""Host names as routes and requests are compared by."""

from __future__ import annotations


def normalize_host(host: str) -> str:
    """Lower case and without a port; an IPv6 address keeps its brackets."""
    name, colon, port = host.rpartition(":")
    if colon and not port.strip("0123456789") and (":" not in name or name.endswith("]")):
        host = name
    return host.lower()
