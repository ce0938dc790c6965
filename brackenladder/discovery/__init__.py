"""The source of a server list: the watch, and the form of the list."""
