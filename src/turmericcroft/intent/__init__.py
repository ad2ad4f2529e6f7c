"""The operators' configuration: parsing, validation, merging and encoding."""
