"""The replicated state machine: the operator's configuration and the set of evacuated zones."""
