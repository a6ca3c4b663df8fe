"""The door: fair queues between the fronts and the decision module, with retry-after advice on refusals.

`decide/` holds the scheduler, the adaptive concurrency limit, the sketches of clients and the reservations,
without I/O or clock. `actor.py` takes calls, hands them on in the scheduler's order, and refuses those that
wait too long. `settings.py` is the operator's table. docs/door.md compares the alternatives.
"""
