"""Fault injection for real processes; used by tests only."""
