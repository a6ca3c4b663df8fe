"""The invoker's core: requests, attempts, orders and outcomes. It knows no wire."""
