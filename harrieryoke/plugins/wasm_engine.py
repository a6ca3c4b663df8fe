"""WebAssembly in the worker process: fuel bounds the steps, the store bounds the memory.

A module imports what it needs of `harrieryoke` (docs/plugins.md lists it), and exports its memory and hooks.
Texts are UTF-8 in its memory; it gets the length of what there is and as much as it has room for.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import wasmtime

from .decide import abi
from .decide.abi import Fault
from .room import Room

NUMBERS = ("left_ms", "wanted_ms", "memory_mb", "lanes", "body_bytes", "keyed")
TEXTS = ("id", "class", "function", "tenant", "front", "topic", "body", "outcome", "*")
I32, F64 = wasmtime.ValType.i32, wasmtime.ValType.f64
TRAPS = {"OUT_OF_FUEL": "fuel", "STACK_OVERFLOW": "recursion"}


class Wasm:
    """One instance: its memory lives on from call to call, and ends with the process."""

    def __init__(self, code: bytes, memory_mb: float, fuel: int, room: Room) -> None:
        self.room, self.fuel = room, fuel
        config = wasmtime.Config()
        config.consume_fuel = True
        config.parallel_compilation = False
        config.cranelift_opt_level = "speed"
        config.memory_reservation = config.memory_reservation_for_growth = 0
        config.memory_guard_size = 0
        config.memory_init_cow = False
        config.max_wasm_stack = 256 * 1024
        self.engine, self.memory_bytes = wasmtime.Engine(config), int(memory_mb * 2**20)
        self.said: dict[str, Any] = {}
        self.view: dict[str, Any] = {}
        try:
            self.module = wasmtime.Module(self.engine, code if code[:4] == b"\0asm" else code.decode("utf-8"))
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)) from None
        self.fresh()

    def fresh(self) -> None:
        """A new instance of the module: at first, and after a trap, which may leave its memory half done."""
        self.memory: wasmtime.Memory | None = None
        self.has: dict[str, wasmtime.Func] = {}
        self.store = wasmtime.Store(self.engine)
        self.store.set_limits(
            memory_size=self.memory_bytes, table_elements=10_000, instances=1, tables=4, memories=1
        )
        self.store.set_fuel(self.fuel)
        linker = wasmtime.Linker(self.engine)
        for name, (takes, gives, does) in self.functions().items():
            linker.define_func("harrieryoke", name, wasmtime.FuncType(takes, gives), does)
        exports = self.guarded(lambda: linker.instantiate(self.store, self.module).exports(self.store))
        memory = exports.get("memory")
        if not isinstance(memory, wasmtime.Memory):
            raise Fault("wrong-answer", "memory: the module exports none")
        self.memory = memory
        self.has = {n: f for n in abi.HOOKS if isinstance(f := exports.get(n), wasmtime.Func)}
        self.stale = False

    def hooks(self) -> list[str]:
        return list(self.has)

    def call(self, hook: str, view: dict[str, Any]) -> Any:
        self.said, self.view = {}, view | view.get("request", {})
        if self.stale:
            self.fresh()
        self.stale = True  # until it has ended well
        self.store.set_fuel(self.fuel)
        arguments = [view["layout"]] if hook == "carry" else []
        code = self.guarded(lambda: self.has[hook](self.store, *arguments))
        self.stale = False
        if hook == "carry":
            if code != 0:
                raise Fault("raised", f"carry returned {code}")
            return None
        if hook == "on_request" and code not in (0, 1):
            raise Fault("wrong-answer", f"on_request returned {code}, not 0 (go on) or 1 (refuse)")
        if hook == "on_request" and code == 1 and "refuse_ms" not in self.said:
            return "refuse"
        return self.said or None

    def guarded(self, run: Callable[[], Any]) -> Any:
        """Traps by their kind; what the invoker's functions raise comes through as it is."""
        try:
            return run()
        except wasmtime.Trap as trap:
            code = getattr(trap.trap_code, "name", "")
            text = str(trap).strip().splitlines()[-1].strip() if str(trap).strip() else ""
            raise Fault(TRAPS.get(code, "raised"), text) from None

    # --- the invoker's functions ---

    def functions(self) -> dict[str, tuple[list[Any], list[Any], Callable[..., Any]]]:
        i32, f64 = I32(), F64()
        return {
            "number": ([i32], [f64], self.number),
            "text": ([i32, i32, i32], [i32], self.text),
            "refuse": ([f64], [], lambda ms: self.say("refuse_ms", ms)),
            "wanted": ([f64], [], lambda ms: self.say("wanted_ms", ms)),
            "prefer": ([i32, i32], [], lambda p, n: self.add("prefer", p, n)),
            "avoid": ([i32, i32], [], lambda p, n: self.add("avoid", p, n)),
            "warm": ([i32, i32], [], lambda p, n: self.add("warm", p, n)),
            "function": ([i32, i32], [], lambda p, n: self.say("function", self.read(p, n))),
            "label": ([i32, i32], [], lambda p, n: self.say("label", self.read(p, n))),
            "log": ([i32, i32], [], lambda p, n: self.room.log(self.read(p, n))),
            "state_get": ([i32, i32, i32, i32], [i32], self.state_get),
            "state_put": (
                [i32, i32, i32, i32],
                [],
                lambda k, kn, v, vn: self.room.put(self.read(k, kn), self.read(v, vn)),
            ),
            "state_drop": ([i32, i32], [], lambda k, kn: self.room.put(self.read(k, kn), None)),
        }

    def read(self, at: int, size: int) -> str:
        """A text of the module's memory."""
        memory = self.memory
        if memory is None:
            raise Fault("not-allowed", "texts can't be passed while the module starts")
        at, size = at & 0xFFFFFFFF, size & 0xFFFFFFFF
        if size > 4096 or at + size > memory.data_len(self.store):
            raise Fault("too-large", f"a text of {size} bytes at {at}")
        try:
            return bytes(memory.read(self.store, at, at + size)).decode("utf-8")
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)[:100]) from None

    def write(self, data: bytes, at: int, room: int) -> int:
        memory = self.memory
        if memory is None:
            raise Fault("not-allowed", "texts can't be passed while the module starts")
        at, room = at & 0xFFFFFFFF, room & 0xFFFFFFFF
        part = data[:room]
        if at + len(part) > memory.data_len(self.store):
            raise Fault("too-large", f"{len(part)} bytes do not fit at {at}")
        if part:
            memory.write(self.store, part, at)
        return len(data)

    def say(self, key: str, value: Any) -> None:
        self.room.count()
        self.said[key] = value

    def add(self, key: str, at: int, size: int) -> None:
        self.room.count()
        self.said.setdefault(key, []).append(self.read(at, size))

    def number(self, field: int) -> float:
        self.room.count()
        if not 1 <= field <= len(NUMBERS):
            raise Fault("wrong-answer", f"there is no number {field}")
        return float(self.view.get(NUMBERS[field - 1]) or 0.0)

    def text(self, field: int, at: int, room: int) -> int:
        self.room.count()
        if not 1 <= field <= len(TEXTS):
            raise Fault("wrong-answer", f"there is no text {field}")
        name = TEXTS[field - 1]
        value = msgspec.json.encode(self.view) if name == "*" else self.view.get(name) or ""
        return self.write(value if isinstance(value, bytes) else str(value).encode(), at, room)

    def state_get(self, key: int, key_size: int, at: int, room: int) -> int:
        value = self.room.get(self.read(key, key_size))
        return -1 if value is None else self.write(value.encode(), at, room)
