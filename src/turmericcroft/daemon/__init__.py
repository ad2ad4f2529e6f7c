"""Wiring and tasks of the daemon process."""
