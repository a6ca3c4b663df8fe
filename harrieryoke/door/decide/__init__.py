"""The decisions and the state of the door. No I/O, no clock: times come in as milliseconds."""
