"""Starlark in the worker process. It has no limit of steps: the invoker's kill is its only end."""

from __future__ import annotations

from typing import Any

import starlark

from .decide import abi
from .decide.abi import Fault
from .room import Room

ARGUMENTS = {
    "on_request": ("request",),
    "on_outcome": ("request", "outcome"),
    "on_hosts": ("hosts",),
    "on_timer": (),
    "carry": ("layout",),
}


class Starlark:
    """One frozen module; the state is outside of it."""

    def __init__(self, code: bytes, room: Room) -> None:
        module = starlark.Module()
        self.fault: Fault | None = None

        def guarded(does: Any) -> Any:
            def run(*arguments: Any) -> Any:
                try:
                    return does(*arguments)
                except Fault as fault:  # it would come back as a text among Starlark's own errors
                    self.fault = fault
                    raise

            return run

        for name, does in (("log", room.log), ("state_get", room.get), ("state_put", room.put)):
            module.add_callable(name, guarded(does))
        try:
            text = code.decode("utf-8")
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)) from None
        tree = starlark.parse("plugin.star", text, dialect=starlark.Dialect.extended())
        starlark.eval(module, tree, starlark.Globals.standard())
        self.has = [name for name in abi.HOOKS if self.defines(module, name)]
        self.module = module.freeze()

    @staticmethod
    def defines(module: starlark.Module, name: str) -> bool:
        try:
            tree = starlark.parse(name, f"type({name})")
            return bool(starlark.eval(module, tree, starlark.Globals.standard()) == "function")
        except starlark.StarlarkError:
            return False

    def hooks(self) -> list[str]:
        return self.has

    def call(self, hook: str, view: dict[str, Any]) -> Any:
        self.fault = None
        try:
            return self.module.call(hook, *(view[name] for name in ARGUMENTS[hook]))
        except starlark.StarlarkError as error:
            if self.fault is not None:
                raise self.fault from None
            if "stack overflow" in str(error).lower():
                raise Fault("recursion", "Starlark's call stack is full") from None
            raise
