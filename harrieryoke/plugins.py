"""The operators' hook: a small Starlark file that admits, refuses or maps requests, and watches outcomes.

A hook sees a record of its own and returns a word. It cannot reach the call: id, class, key and body stay.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import starlark
from gevent.threadpool import ThreadPool

from . import interface as i
from .core.actor import Actor
from .core.calls import HEX16
from .core.records import Call
from .limits import Limits
from .log import Log


class PluginSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's [plugin] table. `on_failure` is what holds when on_request fails."""

    file: str
    on_failure: str = "admit"  # or "refuse"


class PluginError(ValueError):
    """The file can't be loaded."""


def plain(error: Exception) -> str:
    """Starlark's errors take many lines; the log has one."""
    return " | ".join(str(error).split("\n"))[:300]


class Hooks(Actor):
    """`on_request(request)` returns None or "admit", "refuse", {"refuse_ms": N} or, in MQTT,
    {"function": "16 hex digits"}; `on_outcome(request, outcome)` returns nothing."""

    def __init__(self, told: PluginSettings, settings: i.Settings, limits: Limits, log: Log,
                 clock: Callable[[], float]) -> None:  # fmt: skip
        super().__init__("plug-in", limits.host_mailbox, log)
        if told.on_failure not in ("admit", "refuse"):
            raise PluginError(f"plugin.on_failure: 'admit' or 'refuse' is wanted, not {told.on_failure!r}")
        self.told, self.settings, self.clock = told, settings, clock
        module = starlark.Module()
        try:
            tree = starlark.parse(told.file, Path(told.file).read_text())
            starlark.eval(module, tree, starlark.Globals.standard())
        except (OSError, starlark.StarlarkError) as error:
            raise PluginError(f"plugin.file: {error}") from None
        self.has = {name: self.defines(module, name) for name in ("on_request", "on_outcome")}
        self.module = module.freeze()
        # guards against a crash of the process: Starlark unwinds the stack for its errors, and a greenlet's
        # stack, which gevent moves about, can't be unwound; a thread's can. It also keeps the loop running.
        self.thread = ThreadPool(1)

    @staticmethod
    def defines(module: starlark.Module, name: str) -> bool:
        try:
            tree = starlark.parse(name, f"type({name})")
            return bool(starlark.eval(module, tree, starlark.Globals.standard()) == "function")
        except starlark.StarlarkError:
            return False

    def record(self, call: Call) -> dict[str, Any]:
        """What a hook sees: a copy, of figures and names."""
        tenant = None if call.tenant is None else self.settings.tenants[call.tenant].name
        return {
            "id": call.rid, "class": self.settings.classes[call.class_index].name, "function": call.function,
            "tenant": tenant, "keyed": call.key is not None, "body_bytes": len(call.body),
            "left_ms": round(call.due - self.clock()), "memory_mb": call.memory, "lanes": call.lanes,
            "topic": call.topic,
        }  # fmt: skip

    def ask(self, name: str, *arguments: Any) -> Any:
        """Calls the hook in its thread. Its error comes back as a value: the pool would print it."""

        def run() -> Any:
            try:
                return self.module.call(name, *arguments)
            except Exception as error:
                return error

        said = self.thread.apply(run)
        if isinstance(said, Exception):
            raise said
        return said

    def request(self, call: Call) -> float | None:
        """None: go on. A number: refuse, and tell the client to stay away for so many milliseconds."""
        if not self.has["on_request"]:
            return None
        try:
            return self.decide(call, self.ask("on_request", self.record(call)))
        except Exception as error:  # whatever a hook does, the invoker goes on with the stated default
            self.log("hook-failed", f"on_request, so {self.told.on_failure}: {plain(error)}")
            return None if self.told.on_failure == "admit" else self.settings.max_retry_after

    def decide(self, call: Call, said: Any) -> float | None:
        if said is None or said is True or said == "admit":
            return None
        if said is False or said == "refuse":
            return self.settings.max_retry_after
        if isinstance(said, dict) and set(said) == {"refuse_ms"}:
            return min(max(0.0, float(said["refuse_ms"])), self.settings.max_retry_after)
        if isinstance(said, dict) and set(said) == {"function"} and call.topic:
            if not HEX16.match(str(said["function"])):
                raise ValueError(f"function: 16 hex digits are wanted, not {said['function']!r}")
            call.function = str(said["function"])
            return None
        raise ValueError(f"on_request returned {said!r}")

    def outcome(self, call: Call, outcome: str) -> None:
        """Never waits: the request table calls it. Outcomes beyond the mailbox's bound are left out."""
        if self.has["on_outcome"] and not self.tell((self.record(call), outcome)):
            self.log("hook-behind", "an outcome was not shown to on_outcome")

    def receive(self, message: tuple[dict[str, Any], str]) -> None:
        try:
            self.ask("on_outcome", *message)
        except Exception as error:  # as above: a hook that only watches changes nothing by failing
            self.log("hook-failed", f"on_outcome: {plain(error)}")
