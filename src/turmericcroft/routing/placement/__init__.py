"""Chooses the server for a request by expected work."""
