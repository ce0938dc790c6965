"""Puts one node together from its configuration and the operator file."""
