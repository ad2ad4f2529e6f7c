"""Requests of clients while they are read."""
