"""Faults on purpose, for real processes: nothing of this is in the program."""
