"""The entry's side of a query: plan, fan-out, answer."""
