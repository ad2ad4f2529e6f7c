"""Runs the daemon as ``python -m turmericcroft.daemon``."""

from turmericcroft.daemon import main

main.main()
