"""The owner's side of a query: queues, calls to backend servers, their state."""
