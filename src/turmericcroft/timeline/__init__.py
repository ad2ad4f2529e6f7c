"""Events of all daemons, ordered by hybrid logical clocks."""
