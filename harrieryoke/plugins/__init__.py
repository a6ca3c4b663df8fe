"""Plug-ins: small programs, written by the cooperatives, that advise on calls but can break no rule.

`decide/` holds decision logic and state without I/O or clock: the interface that plug-ins see, the manifest,
budgets, the circuit breaker, merging of advice, and the life cycle of versions. Around it:

- `package.py` reads a plug-in from disk; `settings.py` is the operator's table.
- `worker.py` is the process that runs one version of one plug-in; `starlark_engine.py` and `wasm_engine.py`
  are its engines. It has one descriptor, a pipe, and its own limits of memory and time.
- `process.py` starts, asks and kills such a process; `instance.py` is the actor that owns one.
- `gate.py` is the actor between the fronts and the decision module: it asks the plug-ins, merges their advice
  and passes the call on, even if every plug-in fails.

docs/plugins.md compares the design's alternatives and documents plug-ins for authors and operators.
"""
