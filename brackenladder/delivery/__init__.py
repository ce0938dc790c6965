"""Telling gateways what the control nodes know, and control nodes what their peers know; no I/O, no clock."""
