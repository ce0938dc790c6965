"""Which server gets a call of a gateway: load balancing that considers prefix caches and regions.

`pool.py` hosts one service and `balancer.py` makes the decisions; the other modules are its components, which
do not depend on each other's state.
"""
