"""A log-structured store that survives crashes.

A single writer appends checksummed records to segments. `decide/` holds the on-disk format, the commit state
and the index, without I/O. `files.py` is the only access to the file system, so that tests can inject faults.
`store.py` combines both with blocking calls; `actor.py` runs it in a thread next to the event loop.
docs/store.md states the durability guarantees.
"""
