"""The host of one pool: calls, attempts, timers and the clock, with no word of any protocol."""
