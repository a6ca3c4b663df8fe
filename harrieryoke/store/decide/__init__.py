"""On-disk format, commit state and index of the store. No I/O and no clock: callers pass times in
milliseconds."""
