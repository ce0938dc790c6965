"""Files that a node keeps on disk: replicated log, saved state, suspended servers, handover file."""
