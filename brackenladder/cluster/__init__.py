"""Membership and failure detection among the nodes of a tier.

Pure code without I/O: time, random numbers and datagrams are passed in as arguments.
"""
