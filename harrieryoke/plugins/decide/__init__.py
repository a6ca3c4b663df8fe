"""The decisions and the state of plug-ins. No I/O, no clock: times come in as milliseconds."""
