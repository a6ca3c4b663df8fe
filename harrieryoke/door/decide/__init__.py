"""Decisions and state of the door. No I/O and no clock: times come in as milliseconds."""
