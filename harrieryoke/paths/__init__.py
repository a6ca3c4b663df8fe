"""Connection paths to a model host that has several addresses: which endpoint to dial, in what order, and
which attempt runs on which connection.

`decide/` holds all of it without I/O: endpoints and their health, the connection race (RFC 8305), and the
pool of a host's connections with the write progress of each attempt. Connections race; requests never do.
"""
