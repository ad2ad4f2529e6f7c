"""Forwarding of declared routes to backend servers."""
