"""Simulates whole fleets in virtual time: the real decision modules in a model of their environment."""
