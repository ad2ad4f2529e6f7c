"""Structured log: one line for each decision."""
