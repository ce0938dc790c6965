"""Files that a node keeps on disk: the replicated log, the saved state, holds and the handover file."""
