"""Network interfaces: clients and their calls, model hosts, and the event bus."""
