"""The commands of `python -m brackenladder`; one file a command."""
