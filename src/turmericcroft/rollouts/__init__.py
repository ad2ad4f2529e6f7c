"""Decides how a service's traffic moves to another software version."""
