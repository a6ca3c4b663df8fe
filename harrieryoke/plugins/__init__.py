"""Plug-ins: small programs of the cooperatives that advise on calls, and can break no rule.

`decide/` holds all that is decided and remembered, without I/O or clock: the interface that plug-ins see, the
manifest, budgets, the breaker, what several plug-ins say together, the life of versions. Round it:

- `package.py` reads a plug-in from disk; `settings.py` is the operator's table.
- `worker.py` is the process that runs one version of one plug-in; `starlark_engine.py` and `wasm_engine.py`
  are the engines in it. It has no descriptors but one pipe, and limits of memory and time of its own.
- `process.py` starts, asks and kills such a process; `instance.py` is the actor that owns one.
- `gate.py` is the actor between the fronts and the module: it asks the plug-ins, settles what they say and
  passes the call on, whatever becomes of them.

docs/plugins.md tells which ways were weighed and what authors and operators need.
"""
