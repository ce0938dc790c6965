"""Rehearsals: real nodes among stand-ins that inject faults on a schedule, and a checker of four rules.

Nothing here imports the node's code: nodes are used through sockets, environment and configuration only.
"""
