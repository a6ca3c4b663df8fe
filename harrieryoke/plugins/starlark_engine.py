"""The engine for Starlark, which has no limit on steps: the invoker must kill a hook that never ends."""

from __future__ import annotations

from typing import Any

import starlark

from .decide import abi
from .decide.abi import Fault
from .room import HookContext

HOOK_ARGUMENTS = {
    "on_request": ("request",),
    "on_outcome": ("request", "outcome"),
    "on_hosts": ("hosts",),
    "on_timer": (),
    "carry": ("layout",),
}


class StarlarkEngine:
    """Runs the hooks of one frozen module; a plug-in's state is kept outside of it."""

    def __init__(self, code: bytes, context: HookContext) -> None:
        module = starlark.Module()
        self.fault: Fault | None = None

        def record_fault(function: Any) -> Any:
            def run(*arguments: Any) -> Any:
                try:
                    return function(*arguments)
                except Fault as fault:  # Starlark replaces it with its own error, which has only the text
                    self.fault = fault
                    raise

            return run

        for name, function in (
            ("log", context.log),
            ("state_get", context.state_get),
            ("state_put", context.state_put),
        ):
            module.add_callable(name, record_fault(function))
        try:
            text = code.decode("utf-8")
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)) from None
        tree = starlark.parse("plugin.star", text, dialect=starlark.Dialect.extended())
        starlark.eval(module, tree, starlark.Globals.standard())
        self.defined_hooks = [name for name in abi.HOOKS if self.defines(module, name)]
        self.module = module.freeze()

    @staticmethod
    def defines(module: starlark.Module, name: str) -> bool:
        try:
            tree = starlark.parse(name, f"type({name})")
            return bool(starlark.eval(module, tree, starlark.Globals.standard()) == "function")
        except starlark.StarlarkError:
            return False

    def hooks(self) -> list[str]:
        return self.defined_hooks

    def call(self, hook: str, view: dict[str, Any]) -> Any:
        self.fault = None
        try:
            return self.module.call(hook, *(view[name] for name in HOOK_ARGUMENTS[hook]))
        except starlark.StarlarkError as error:
            if self.fault is not None:
                raise self.fault from None
            if "stack overflow" in str(error).lower():
                raise Fault("recursion", "Starlark's call stack is full") from None
            raise
