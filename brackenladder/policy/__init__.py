"""Every decision of a node, without I/O or clock. The contract with its host is brackenladder/interface.py.

`balancer.py` is where events come in; each other file is a room that decides one thing and stands by itself:
`limit.py` how many calls are in flight, `subset.py` which servers are members and when calls leave the zone,
`server.py` what is known of one and how fast it is, `slow_start.py` the cold rule, `ejection.py` who is set
aside, `load_shedding.py` what is refused first, `retry.py` what may be repeated.
"""
