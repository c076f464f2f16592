"""Soak of real processes under faults that only a seed decides."""
