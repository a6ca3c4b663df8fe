"""The billing ledger: an entry for each final answer, in periods that close, with an exactly-once export.

`decide/` holds entries, periods, corrections, totals, the export's and the reconciliation's state, without
I/O. `actor.py` takes the ends of calls and keeps the entries in `harrieryoke.store`; `link.py` is the
connection to the collector. docs/ledger.md is for operators.
"""
