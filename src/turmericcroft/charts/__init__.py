"""State charts of requests, in YAML and TOML, and their interpreter."""
