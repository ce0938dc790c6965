"""What a node keeps in files."""
