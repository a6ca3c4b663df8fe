"""The core of the invoker: requests, attempts, load orders and outcomes, independent of any protocol."""
