"""The host of one pool: calls, attempts, timers and the clock, independent of any protocol."""
