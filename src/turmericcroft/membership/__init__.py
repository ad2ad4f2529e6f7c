"""Membership and ownership among daemons, without I/O."""
