"""Stand-ins for clients, servers and network: processes that follow the plan and record what they observe."""
