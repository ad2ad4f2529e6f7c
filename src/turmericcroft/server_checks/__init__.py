"""Calls that tell whether a backend server is the process that it was."""
