"""The laboratory: emulated model hosts, event bus and clients round a real invoker, and experiments.

`hosts.py` and `clients.py` count for themselves what reached them; `audit.py` compares, and does not ask for
the invoker's own counters. Nothing of the product imports this.
"""
