"""State and records of accepted requests, without I/O."""
