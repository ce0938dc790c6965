"""Changes of a running node: making a plan, checking its effect and applying it. No I/O and no clock."""
