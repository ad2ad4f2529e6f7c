"""State charts in YAML and their interpreter."""
