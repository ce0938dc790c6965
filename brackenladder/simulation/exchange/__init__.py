"""Gateways as they are served, in virtual time, between simulated clients and servers on byte streams."""
