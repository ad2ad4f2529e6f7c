"""Attempts at a request that go on beside each other."""
