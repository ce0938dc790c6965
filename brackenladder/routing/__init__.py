"""Pools of servers, and the routing of requests to them; without I/O or a clock."""
