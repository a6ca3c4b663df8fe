"""Decision logic and state of plug-ins. No I/O and no clock: times are passed in as milliseconds."""
