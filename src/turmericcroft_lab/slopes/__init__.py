"""Measures how costs grow with size, as input for docs/CAPACITY.md."""
