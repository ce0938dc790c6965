"""Rehearsals: stand-ins that break on a schedule round real nodes, and a checker of the four rules.

Nothing here imports the node: it is met through its sockets, its environment and its configuration.
"""
