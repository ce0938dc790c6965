"""Notices between gateways, relayed by control nodes, of which servers have which prefixes cached."""
