"""The way to the other nodes of a tier."""
