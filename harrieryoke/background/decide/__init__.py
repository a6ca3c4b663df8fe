"""Which background job goes next. No I/O, no clock: times come in as milliseconds."""
