"""Simulates whole fleets in virtual time: the real code of `policy/` among modelled nodes and servers."""
