"""Learns from the store and other daemons what began a resumed stream."""
