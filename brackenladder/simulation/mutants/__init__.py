"""Planted faults that the simulation has to detect, to prove that its checks and faults are effective."""
