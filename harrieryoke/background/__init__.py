"""Background work: snapshots, compaction, export and reconciliation. Serving calls always takes precedence.

`decide/` picks the job that runs its next slice, by priority, age and deadline, within budgets of loop time
and bytes per second; `runner.py` is the greenlet that runs the slices. A job that fails is retried with
exponential back-off. A job that must resume after a crash stores its own progress with its data.
"""
