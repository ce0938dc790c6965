"""Messages to the other nodes of a tier."""
