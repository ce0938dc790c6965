"""The sources of server lists: watching and fetching them from discovery."""
