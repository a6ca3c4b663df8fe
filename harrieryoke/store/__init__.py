"""A log-structured store that survives crashes.

Records go to append-only segments, each with a checksum; one writer at a time. `decide/` holds the format,
the state of what is durable, and the index, without I/O; `files.py` is the one way to the disk, so that a
faulty one can stand in; `store.py` puts both together and blocks; `actor.py` runs it beside the loop, in one
thread. docs/store.md tells of the promises.
"""
