"""The admin interface: one command line and one answer for each connection. It listens only if it has an
address."""
