"""The door: fair queues between the fronts and the module, and honest words on when to come back.

`decide/` holds the scheduler, the limit on what is inside, the sketch of clients and the calendar of
promises, without I/O or clock. `actor.py` is the thin side: it takes calls, hands them on in the
scheduler's order, and refuses in time. `settings.py` is the operator's table. docs/door.md weighs the ways.
"""
