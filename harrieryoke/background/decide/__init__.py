"""Scheduling of background jobs. No I/O and no clock: callers pass times in milliseconds."""
