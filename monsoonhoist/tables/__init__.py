"""Tables of routes and pools: parsing, validation, and the store of accepted values."""
