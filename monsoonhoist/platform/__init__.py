"""Adapters to the users' platform: its names, formats and HTTP calls, without any decisions."""
