"""Measurements; each module is one command, ``python -m bench.NAME``."""
