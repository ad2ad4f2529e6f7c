"""Structured log: one line for each decision of a daemon."""
