"""The store's format, its state and its index. No I/O, no clock: times come in as milliseconds."""
