"""Calls that one daemon makes for all: usage reports and server orders."""
