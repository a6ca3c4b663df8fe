"""Endpoints, connection races and pools as pure state machines, without I/O or clocks: callers pass times in
milliseconds."""
