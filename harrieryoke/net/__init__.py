"""The platform's wires: clients in front, model hosts and the event bus behind."""
