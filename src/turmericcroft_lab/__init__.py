"""Simulated platforms, demos and measurements for turmericcroft."""
