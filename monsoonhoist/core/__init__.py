"""Records and decisions of the query tier, without I/O."""
