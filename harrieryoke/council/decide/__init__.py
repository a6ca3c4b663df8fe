"""Raft consensus and duty leases. No I/O and no clock: the caller passes times as monotonic milliseconds."""
