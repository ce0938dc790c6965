"""Which server keeps which prompt prefixes: gateways tell one another, control nodes relay it. Pure."""
