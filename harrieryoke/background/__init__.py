"""Background work: snapshot, compaction, export, reconciliation. Serving always goes first.

`decide/` says which job runs its next slice, within budgets of time and bytes a second, by priority, age and
deadline; `runner.py` is the greenlet that runs it. A job is cut into slices; one that fails waits longer each
time; what a job needs to go on after a crash is its own progress, which it keeps where it keeps its work.
"""
