"""Records and decision logic of the query tier, without I/O."""
