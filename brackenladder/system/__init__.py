"""Command line of the whole system: runs it on loopback, queries and changes it, inspects its stores."""
