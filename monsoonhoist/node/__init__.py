"""Tasks of one instance; each owns its sockets and its state."""
