"""The control role: the interfaces for operators and servers, and the directory for clients."""
