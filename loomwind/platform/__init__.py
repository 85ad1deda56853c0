"""Adapters that translate between the users' platform and the serving core, without any policy.

The wire formats follow the platform's published specification; no other package uses its names.
"""
