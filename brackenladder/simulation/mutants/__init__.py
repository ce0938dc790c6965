"""Planted faults: the simulation proves something only if it convicts each of them in few schedules."""
