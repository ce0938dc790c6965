"""brackenladder: a load balancer for services that call each other."""

__version__ = "0.1.0"
