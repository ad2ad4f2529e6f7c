"""Runs the command-line tool as ``python -m turmericcroft.ctl``."""

from turmericcroft.ctl import main

main.main()
