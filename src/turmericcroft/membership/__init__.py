"""Which daemons are alive and which own what, without I/O."""
