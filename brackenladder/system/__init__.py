"""The command line of the whole system: run it on loopback, ask and change it, look into its store."""
