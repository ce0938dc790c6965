"""The soak: real processes on loopback under overlapping troubles, judged from what actors saw."""
