"""The replicated state machine: the operator's configurations and the evacuations of zones."""
