"""HTTP/1.1: connections from clients, connections to servers, and the relay between them."""
