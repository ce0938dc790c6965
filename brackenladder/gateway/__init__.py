"""The gateway: forwards client requests to servers and relays their responses."""
