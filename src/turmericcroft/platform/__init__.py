"""Adapter to the users' platform; it translates formats only."""
