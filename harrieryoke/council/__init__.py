"""Consensus and duties among invokers (docs/council.md)."""
