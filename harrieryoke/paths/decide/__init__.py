"""Endpoints, races and links as pure state. No I/O, no clock: times come in as milliseconds."""
