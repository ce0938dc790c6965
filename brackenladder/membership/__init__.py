"""The server list that discovery delivers: validation, merging and staleness. Pure; time is an argument."""
