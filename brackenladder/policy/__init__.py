"""All load-balancing decisions of a node, without I/O or a clock, behind brackenladder/interface.py.

`balancer.py` receives the events. Each other module makes one kind of decision and uses no other one but
`server.py`: `limit.py` how many calls are in flight, `subset.py` which servers are members and when calls
leave the zone, `server.py` per-server state and latency, `slow_start.py` what a cold server may be sent,
`ejection.py` outlier ejection, `load_shedding.py` what is refused first, `retry.py` what may be retried.
"""
