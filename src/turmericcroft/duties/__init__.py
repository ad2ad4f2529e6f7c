"""Duties of the lease holder: usage reports and orders of servers."""
