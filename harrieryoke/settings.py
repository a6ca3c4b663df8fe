"""The wire's settings object into `interface.Settings`, for the simulator's adapter and the invoker alike."""

from __future__ import annotations

from typing import Any

import msgspec

from . import interface as i

EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}

# interface field -> where the wire has it
TOP = {"classes": "classes", "tenants": "realms", "me": "me", "front_ends": "siblings", "zone": "zone",
       "tick": "period", "over_share_worth": "over-share-worth"}  # fmt: skip
CEILINGS = {"max_attempts": "max-attempts", "second_attempts": "second-copies", "may_cancel": "cancel",
            "may_probe": "probes", "tells_retry_after": "retry-after", "max_retry_after": "max-retry-after",
            "connect_timeout": "dial-timeout"}  # fmt: skip
OBLIGATIONS = {"list_ask_within": "ask-within", "answer_slack": "answer-slack", "cold_period": "cold",
               "cold_share": "cold-share", "fall_multiple": "fall-multiple",
               "fall_time": "overload-for"}  # fmt: skip
EXTRA = {"may_order": "orders", "keep_alive": "stays-loaded", "order_timeout": "order-limit",
         "ration_window": "load-window", "ration_floor": "load-floor", "ration_share": "load-share",
         "idle_price": "price-of-idle", "memory_by_kind": "kind-memory-mb", "tells_found": "warm-notes",
         "tells_crowd": "says-company"}  # fmt: skip
CLASS = {"name": "name", "aim": "goal-time", "deadline": "hard-limit", "worth": "value",
         "late_worth": "late-worth", "effect": "repeat", "group": "dedup-scope",
         "repeat_window": "repeat-window", "aim_stretch": "aim-stretch"}  # fmt: skip
TENANT = {"name": "name", "allowance_per_s": "allowance-per-s"}
# field of a load report -> where the settings' names have it
REPORT_NAMES = {"concurrent": "held", "load_share": "busy", "x0": "pinned_memory", "x1": "loads"}


def part(info: Any, names: dict[str, str]) -> dict[str, Any]:
    """The named values that are there; what is absent or null keeps the interface's default."""
    if not isinstance(info, dict):
        raise ValueError("an object is expected")
    return {ours: info[theirs] for ours, theirs in names.items() if info.get(theirs) is not None}


def read_class(info: Any) -> dict[str, Any]:
    read = part(info, CLASS)
    if "effect" not in read:
        raise ValueError("classes[].repeat is missing")
    if read["effect"] not in EFFECTS:
        raise ValueError(f"classes[].repeat: unknown word {read['effect']!r}")
    return read | {"effect": EFFECTS[read["effect"]]}


def read_settings(info: Any) -> i.Settings:
    """The settings object, decoded; keys it does not know are left alone. Errors are ValueErrors."""
    flat: dict[str, Any] = {"may_order": False}
    flat |= part(info, TOP)
    for section, names in (("ceilings", CEILINGS), ("obligations", OBLIGATIONS), ("extra", EXTRA)):
        flat |= part(info.get(section, {}), names)
    if not isinstance(flat.get("classes"), list) or not isinstance(flat.get("tenants", []), list):
        raise ValueError("classes and realms must be lists")
    flat["classes"] = [read_class(c) for c in flat["classes"]]
    flat["tenants"] = [part(t, TENANT) | {"name": str(t.get("name", ""))} for t in flat.get("tenants", [])]
    flat["list_on_request"] = info.get("discovery") == "on_request"
    flat["worth_by_work"] = info.get("worth-by") == "work"
    return msgspec.convert(flat, i.Settings, strict=False)


def report_names(info: Any) -> tuple[str, ...]:
    """The names of the load report's values, in their order."""
    return tuple(str(n) for n in info.get("load-report", {}).get("fields", []))
