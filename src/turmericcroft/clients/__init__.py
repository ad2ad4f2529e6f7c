"""Clients of external services: the key-value service and the VM list."""
