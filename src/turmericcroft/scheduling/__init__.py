"""Decides which requests are served while room is short."""
