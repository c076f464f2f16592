"""Soak of real processes under faults generated from a seed."""
