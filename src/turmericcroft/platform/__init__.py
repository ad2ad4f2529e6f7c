"""Adapter to the users' platform: translation only."""
