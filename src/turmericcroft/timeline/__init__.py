"""Time line: events of all daemons, ordered by hybrid logical clocks."""
