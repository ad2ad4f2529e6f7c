"""Clients of external services, for a deployment with its own VM list."""
