"""The admin interface: one line, one answer. It listens only if an address is configured for it."""
