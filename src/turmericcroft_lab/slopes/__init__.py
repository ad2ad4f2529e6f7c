"""Measured slopes for docs/CAPACITY.md."""
