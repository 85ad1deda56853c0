"""Loomwind serves many rarely used models from one shared pool of accelerators."""

__version__ = "0.1.0"
