"""Choice of a backend server, limits and retries, without I/O."""
