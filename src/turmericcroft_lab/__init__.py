"""Stand-ins, demo and measurements for turmericcroft."""
