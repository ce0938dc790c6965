"""Soak test: real processes on loopback under overlapping faults, checked against recorded events."""
