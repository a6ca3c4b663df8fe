"""The ways to a model host that has several addresses: which to dial, in what order, and what runs on which
link.

`decide/` is all of it without I/O: endpoints and their health, the race of connections (RFC 8305), and the
pool of a host's links with what is known of each attempt on them. Connections race, requests never do.
"""
