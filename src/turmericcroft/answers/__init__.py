"""Life cycle of accepted requests, without I/O."""
