"""The control role: interfaces for the operator, the servers and clients that ask where to go."""
