"""Links between nodes: typed messages in frames over TCP, and inside one process for tests."""
