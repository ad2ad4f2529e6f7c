"""Decides at which service and software version a stream may go on."""
