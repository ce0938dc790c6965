"""Client of the control nodes' operator API, and its errors."""
