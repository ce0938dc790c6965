"""Decisions about the server list itself: pure, with time as an argument."""
