"""What the protocols' packages share of sockets; it knows no protocol."""
