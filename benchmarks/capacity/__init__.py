"""What the control of the system costs, by role and size: the parts of `benchmarks/system_capacity.py`."""
