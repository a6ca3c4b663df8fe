"""The billing ledger: one entry for each final answer, in periods that are sealed, with exactly-once export.

`decide/` holds entries, periods, corrections, totals, and the state of export and reconciliation, without
I/O. `actor.py` receives the ends of calls and writes the entries to `harrieryoke.store`; `link.py` is the
connection to the collector. docs/ledger.md is for operators.
"""
