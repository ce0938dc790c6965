"""A gateway's part of the bounds that hold for the sum over all gateways."""
