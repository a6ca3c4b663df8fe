"""The decisions on budgets. No I/O, no clock: times come in as milliseconds."""
