"""Whole fleets in virtual time: the real decision modules, and a model of all that is around them."""
