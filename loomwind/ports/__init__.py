"""Interfaces to the platform's services, with HTTP and in-memory implementations."""
