"""Measurements: relay, latency, faults, sites and the users' bench. Run ``python -m bench``."""
