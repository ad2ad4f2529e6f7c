"""Tests of turmericcroft."""
