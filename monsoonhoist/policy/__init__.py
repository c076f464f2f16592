"""Exchangeable policies of the kernels, registered by name in ``policy.registry``."""
