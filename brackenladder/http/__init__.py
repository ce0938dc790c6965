"""HTTP/1.1: the front towards callers and the side towards servers."""
