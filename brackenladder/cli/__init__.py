"""The commands of `python -m brackenladder`."""
