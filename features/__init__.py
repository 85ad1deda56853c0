"""Behave features: small sites of real processes, with failures brought about."""
