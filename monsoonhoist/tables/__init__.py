"""Routes and pools: parsing, checking, acceptance and spread."""
