"""Runs complete gateways in virtual time between simulated clients and servers on byte streams."""
