"""The wire's settings object into `interface.Settings`, for the simulator's adapter and the invoker alike."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any, get_type_hints

import msgspec

from .interface import Effect, RequestClass, Settings, Tenant

EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}

# interface field -> where the wire has it
TOP = {
    "classes": "classes",
    "tenants": "realms",
    "own_index": "me",
    "front_ends": "siblings",
    "zone": "zone",
    "tick": "period",
    "over_share_worth": "over-share-worth",
}
CEILINGS = {
    "max_attempts": "max-attempts",
    "second_attempts": "second-copies",
    "may_cancel": "cancel",
    "may_probe": "probes",
    "sends_retry_after": "retry-after",
    "max_retry_after": "max-retry-after",
    "connect_timeout": "dial-timeout",
}
OBLIGATIONS = {
    "list_ask_within": "ask-within",
    "answer_slack": "answer-slack",
    "cold_period": "cold",
    "cold_share": "cold-share",
    "overload_multiple": "fall-multiple",
    "overload_time": "overload-for",
}
EXTRA = {
    "may_order": "orders",
    "keep_alive": "stays-loaded",
    "order_timeout": "order-limit",
    "order_limit_window": "load-window",
    "order_limit_floor": "load-floor",
    "order_limit_share": "load-share",
    "idle_copy_price": "price-of-idle",
    "memory_by_kind": "kind-memory-mb",
    "reports_copy_lookup": "warm-notes",
    "reports_concurrent_requests": "says-company",
}
CLASS = {
    "name": "name",
    "latency_target": "goal-time",
    "deadline": "hard-limit",
    "worth": "value",
    "late_worth": "late-worth",
    "effect": "repeat",
    "deduplication_scope": "dedup-scope",
    "repeat_window": "repeat-window",
    "latency_target_stretch": "aim-stretch",
}
TENANT = {"name": "name", "allowance_per_s": "allowance-per-s"}
CLASS_NEEDS = ("name", "goal-time", "hard-limit", "repeat")
ABOVE_0 = ("goal-time", "hard-limit", "max-attempts", "siblings", "period", "stays-loaded")
MOST = 1e12  # of any figure: thirty years in milliseconds
TYPES: dict[type, dict[str, Any]] = {k: get_type_hints(k) for k in (Settings, RequestClass, Tenant)}
# field of a load report -> where the settings' names have it
REPORT_NAMES = {"concurrent": "in_progress", "load_share": "busy", "x0": "pinned_memory", "x1": "loads"}


def check_figure(value: Any, above_0: bool = False) -> None:
    """Guards against figures that no clock and no count can bear. Raises ValueError."""
    if isinstance(value, int | float) and not (isfinite(value) and abs(value) <= MOST):
        raise ValueError(f"{value} is no figure that can be used")
    if above_0 and not value > 0:
        raise ValueError("must be above 0")


def part(info: Any, names: Mapping[str, str], target: type, where: str = "") -> dict[str, Any]:
    """The named values that are there, as the fields of `kind`; what is absent or null keeps the interface's
    default. Raises ValueError, which names the key below `where`."""
    if not isinstance(info, dict):
        raise ValueError(f"{where.rstrip('.')}: an object is expected")
    fields: dict[str, Any] = {}
    for field, key in names.items():
        if info.get(key) is None:
            continue
        try:
            value = fields[field] = msgspec.convert(info[key], TYPES[target][field], strict=False)
            for figure in value if isinstance(value, tuple) else (value,):
                check_figure(figure, key in ABOVE_0)
        except (ValueError, OverflowError) as error:  # msgspec's are among them
            raise ValueError(f"{where}{key}: {error}") from None
    return fields


def read_class(info: Any, where: str) -> RequestClass:
    fields = part(info, {k: v for k, v in CLASS.items() if k != "effect"}, RequestClass, where)
    for key in CLASS_NEEDS:
        if info.get(key) is None:
            raise ValueError(f"{where}{key}: it is missing")
    if info["repeat"] not in list(EFFECTS):
        raise ValueError(f"{where}repeat: unknown word {info['repeat']!r}")
    return RequestClass(**fields, effect=Effect(EFFECTS[info["repeat"]]))


def read_list(info: Mapping[str, Any], key: str) -> list[Any]:
    """The list under that key; empty where there is none."""
    value = info.get(key)
    if not isinstance(value, list | None):
        raise ValueError(f"{key}: a list is expected")
    return value or []


def read_settings(info: Any) -> Settings:
    """The settings object, decoded; keys it does not know are left alone. Raises ValueError, which names the
    key."""
    top = {field: key for field, key in TOP.items() if field not in ("classes", "tenants")}
    flat: dict[str, Any] = {"may_order": False} | part(info, top, Settings)
    for section, names in (("ceilings", CEILINGS), ("obligations", OBLIGATIONS), ("extra", EXTRA)):
        flat |= part({} if info.get(section) is None else info[section], names, Settings, f"{section}.")
    classes = [read_class(c, f"classes[{n}].") for n, c in enumerate(read_list(info, TOP["classes"]))]
    tenants = [
        {"name": ""} | part(tenant, TENANT, Tenant, f"{TOP['tenants']}[{n}].")
        for n, tenant in enumerate(read_list(info, TOP["tenants"]))
    ]
    return Settings(
        **flat,
        classes=tuple(classes),
        tenants=tuple(Tenant(**tenant) for tenant in tenants),
        list_on_request=info.get("discovery") == "on_request",
        worth_by_work=info.get("worth-by") == "work",
    )


def report_names(info: Any) -> tuple[str, ...]:
    """The names of the load report's values, in their order."""
    return tuple(str(n) for n in info.get("load-report", {}).get("fields", []))
