"""The laboratory: experiments that run a real invoker with emulated model hosts, event bus and clients.

`hosts.py` and `clients.py` count what reaches them; `audit.py` compares these counts and does not use the
invoker's own counters. No module outside this package and the command line imports it.
"""
