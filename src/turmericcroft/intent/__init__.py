"""Operators' declarations: parsing, validation, merging, compiling."""
