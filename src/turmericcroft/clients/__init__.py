"""Clients of outside systems for a deployment with its own VM list."""
