"""The engine for WebAssembly: fuel limits the steps, the store limits the memory.

A module imports functions of `harrieryoke` (listed in docs/plugins.md), and exports its memory and hooks.
Texts are UTF-8 in its memory: a function that writes one writes up to the given size and returns the full
length.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import wasmtime

from .decide import abi
from .decide.abi import Fault
from .room import HookContext

NUMBER_FIELDS = ("left_ms", "wanted_ms", "memory_mb", "lanes", "body_bytes", "keyed")
TEXT_FIELDS = ("id", "class", "function", "tenant", "front", "topic", "body", "outcome", "*")
MAX_TEXT_BYTES = 4096  # of a text that a module passes
I32, F64 = wasmtime.ValType.i32, wasmtime.ValType.f64
FAULT_KIND_BY_TRAP = {"OUT_OF_FUEL": "fuel", "STACK_OVERFLOW": "recursion"}


class WasmEngine:
    """Runs the hooks of one instance of a module; its memory is kept from call to call."""

    def __init__(self, code: bytes, memory_mb: float, fuel: int, context: HookContext) -> None:
        self.context, self.fuel = context, fuel
        config = wasmtime.Config()
        config.consume_fuel = True
        config.parallel_compilation = False
        config.cranelift_opt_level = "speed"
        config.memory_reservation = config.memory_reservation_for_growth = 0
        config.memory_guard_size = 0
        config.memory_init_cow = False
        config.max_wasm_stack = 256 * 1024
        self.engine, self.memory_bytes = wasmtime.Engine(config), int(memory_mb * 2**20)
        self.result: dict[str, Any] = {}
        self.view: dict[str, Any] = {}
        try:
            self.module = wasmtime.Module(self.engine, code if code[:4] == b"\0asm" else code.decode("utf-8"))
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)) from None
        self.instantiate()

    def instantiate(self) -> None:
        """Instantiate the module: at first, and after a trap, which may leave its memory inconsistent."""
        self.memory: wasmtime.Memory | None = None
        self.hook_functions: dict[str, wasmtime.Func] = {}
        self.store = wasmtime.Store(self.engine)
        self.store.set_limits(
            memory_size=self.memory_bytes, table_elements=10_000, instances=1, tables=4, memories=1
        )
        self.store.set_fuel(self.fuel)
        linker = wasmtime.Linker(self.engine)
        for name, (parameters, results, function) in self.host_functions().items():
            linker.define_func("harrieryoke", name, wasmtime.FuncType(parameters, results), function)
        exports = self.run_guarded(lambda: linker.instantiate(self.store, self.module).exports(self.store))
        memory = exports.get("memory")
        if not isinstance(memory, wasmtime.Memory):
            raise Fault("wrong-answer", "memory: the module exports none")
        self.memory = memory
        self.hook_functions = {n: f for n in abi.HOOKS if isinstance(f := exports.get(n), wasmtime.Func)}
        self.must_reinstantiate = False

    def hooks(self) -> list[str]:
        return list(self.hook_functions)

    def call(self, hook: str, view: dict[str, Any]) -> Any:
        self.result, self.view = {}, view | view.get("request", {})
        if self.must_reinstantiate:
            self.instantiate()
        self.must_reinstantiate = True  # unless the call succeeds
        self.store.set_fuel(self.fuel)
        arguments = [view["layout"]] if hook == "carry" else []
        exit_code = self.run_guarded(lambda: self.hook_functions[hook](self.store, *arguments))
        self.must_reinstantiate = False
        if hook == "carry":
            if exit_code != 0:
                raise Fault("raised", f"carry returned {exit_code}")
            return None
        if hook == "on_request" and exit_code not in (0, 1):
            raise Fault("wrong-answer", f"on_request returned {exit_code}, not 0 (admit) or 1 (refuse)")
        if hook == "on_request" and exit_code == 1 and "refuse_ms" not in self.result:
            return "refuse"
        return self.result or None

    def run_guarded(self, run: Callable[[], Any]) -> Any:
        """Turn a trap into a Fault of its kind. A Fault raised by a host function passes through."""
        try:
            return run()
        except wasmtime.Trap as trap:
            code = getattr(trap.trap_code, "name", "")
            text = str(trap).strip().splitlines()[-1].strip() if str(trap).strip() else ""
            raise Fault(FAULT_KIND_BY_TRAP.get(code, "raised"), text) from None

    # --- the invoker's functions ---

    def host_functions(self) -> dict[str, tuple[list[Any], list[Any], Callable[..., Any]]]:
        i32, f64 = I32(), F64()
        return {
            "number": ([i32], [f64], self.number_field),
            "text": ([i32, i32, i32], [i32], self.text_field),
            "refuse": ([f64], [], lambda ms: self.set_result("refuse_ms", ms)),
            "wanted": ([f64], [], lambda ms: self.set_result("wanted_ms", ms)),
            "prefer": ([i32, i32], [], lambda p, n: self.append_result("prefer", p, n)),
            "avoid": ([i32, i32], [], lambda p, n: self.append_result("avoid", p, n)),
            "warm": ([i32, i32], [], lambda p, n: self.append_result("warm", p, n)),
            "function": ([i32, i32], [], lambda p, n: self.set_result("function", self.read_text(p, n))),
            "label": ([i32, i32], [], lambda p, n: self.set_result("label", self.read_text(p, n))),
            "log": ([i32, i32], [], lambda p, n: self.context.log(self.read_text(p, n))),
            "state_get": ([i32, i32, i32, i32], [i32], self.state_get),
            "state_put": (
                [i32, i32, i32, i32],
                [],
                lambda k, kn, v, vn: self.context.state_put(self.read_text(k, kn), self.read_text(v, vn)),
            ),
            "state_drop": ([i32, i32], [], lambda k, kn: self.context.state_put(self.read_text(k, kn), None)),
        }

    def read_text(self, at: int, size: int) -> str:
        """Read a text from the module's memory."""
        memory = self.memory
        if memory is None:
            raise Fault("not-allowed", "texts can't be passed before the module has started")
        at, size = at & 0xFFFFFFFF, size & 0xFFFFFFFF
        if size > MAX_TEXT_BYTES or at + size > memory.data_len(self.store):
            raise Fault("too-large", f"a text of {size} bytes at {at}")
        try:
            return bytes(memory.read(self.store, at, at + size)).decode("utf-8")
        except UnicodeDecodeError as error:
            raise Fault("not-text", str(error)[:100]) from None

    def write_bytes(self, data: bytes, at: int, max_size: int) -> int:
        """Write up to `max_size` bytes into the module's memory; return the full length of `data`."""
        memory = self.memory
        if memory is None:
            raise Fault("not-allowed", "texts can't be passed before the module has started")
        at, max_size = at & 0xFFFFFFFF, max_size & 0xFFFFFFFF
        part = data[:max_size]
        if at + len(part) > memory.data_len(self.store):
            raise Fault("too-large", f"{len(part)} bytes do not fit at {at}")
        if part:
            memory.write(self.store, part, at)
        return len(data)

    def set_result(self, key: str, value: Any) -> None:
        self.context.count_host_call()
        self.result[key] = value

    def append_result(self, key: str, at: int, size: int) -> None:
        self.context.count_host_call()
        self.result.setdefault(key, []).append(self.read_text(at, size))

    def number_field(self, field: int) -> float:
        self.context.count_host_call()
        if not 1 <= field <= len(NUMBER_FIELDS):
            raise Fault("wrong-answer", f"there is no number field {field}")
        return float(self.view.get(NUMBER_FIELDS[field - 1]) or 0.0)

    def text_field(self, field: int, at: int, max_size: int) -> int:
        self.context.count_host_call()
        if not 1 <= field <= len(TEXT_FIELDS):
            raise Fault("wrong-answer", f"there is no text field {field}")
        name = TEXT_FIELDS[field - 1]
        value = msgspec.json.encode(self.view) if name == "*" else self.view.get(name) or ""
        return self.write_bytes(value if isinstance(value, bytes) else str(value).encode(), at, max_size)

    def state_get(self, key: int, key_size: int, at: int, max_size: int) -> int:
        value = self.context.state_get(self.read_text(key, key_size))
        return -1 if value is None else self.write_bytes(value.encode(), at, max_size)
