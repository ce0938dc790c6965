"""Normalisation of host names, for the comparison of requests with routes."""

from __future__ import annotations


def normalize_host(host: str) -> str:
    """The host in lower case and without its port; an IPv6 address keeps its brackets."""
    name, colon, port = host.rpartition(":")
    if colon and not port.strip("0123456789") and (":" not in name or name.endswith("]")):
        host = name
    return host.lower()
