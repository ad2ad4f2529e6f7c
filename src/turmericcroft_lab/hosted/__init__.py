"""Emulators of the hosted platform, and fault injection for the gateway."""
