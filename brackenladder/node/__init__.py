"""The processes: a load balancer node, and the gateway and control roles of the whole system."""
