"""The operator's side of the control nodes' interface: calls to any node, and how they fail."""
