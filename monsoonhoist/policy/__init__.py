"""Policies that register themselves by name with the kernel's registry."""
