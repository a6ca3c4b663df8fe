"""Parses the settings object of the wire and of the configuration file into `interface.Settings`."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any, get_type_hints

import msgspec

from .interface import Effect, RequestClass, Settings, Tenant

EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}

# interface field -> key of the settings object
TOP_LEVEL_KEYS = {
    "classes": "classes",
    "tenants": "realms",
    "own_index": "me",
    "front_ends": "siblings",
    "zone": "zone",
    "tick": "period",
    "over_share_worth": "over-share-worth",
}
CEILING_KEYS = {
    "max_attempts": "max-attempts",
    "second_attempts": "second-copies",
    "may_cancel": "cancel",
    "may_probe": "probes",
    "sends_retry_after": "retry-after",
    "max_retry_after": "max-retry-after",
    "connect_timeout": "dial-timeout",
}
OBLIGATION_KEYS = {
    "list_ask_within": "ask-within",
    "answer_slack": "answer-slack",
    "cold_period": "cold",
    "cold_share": "cold-share",
    "overload_multiple": "fall-multiple",
    "overload_time": "overload-for",
}
EXTRA_KEYS = {
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
CLASS_KEYS = {
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
TENANT_KEYS = {"name": "name", "allowance_per_s": "allowance-per-s"}
REQUIRED_CLASS_KEYS = ("name", "goal-time", "hard-limit", "repeat")
POSITIVE_KEYS = ("goal-time", "hard-limit", "max-attempts", "siblings", "period", "stays-loaded")
MAX_NUMBER = 1e12  # about thirty years in milliseconds
FIELD_TYPES: dict[type, dict[str, Any]] = {k: get_type_hints(k) for k in (Settings, RequestClass, Tenant)}
# name in the settings -> field of a load report
LOAD_REPORT_FIELDS = {"concurrent": "in_progress", "load_share": "busy", "x0": "pinned_memory", "x1": "loads"}


def check_number(value: Any, above_0: bool = False) -> None:
    """Raises ValueError for a number that is not finite or too large for times and counts."""
    if isinstance(value, int | float) and not (isfinite(value) and abs(value) <= MAX_NUMBER):
        raise ValueError(f"{value} is not finite or too large")
    if above_0 and not value > 0:
        raise ValueError("must be above 0")


def read_fields(info: Any, names: Mapping[str, str], target: type, where: str = "") -> dict[str, Any]:
    """Returns the present values of `names` as fields of `target`; absent and null ones are left out.

    Raises ValueError that names the key, prefixed with `where`.
    """
    if not isinstance(info, dict):
        raise ValueError(f"{where.rstrip('.')}: an object is expected")
    fields: dict[str, Any] = {}
    for field, key in names.items():
        if info.get(key) is None:
            continue
        try:
            value = fields[field] = msgspec.convert(info[key], FIELD_TYPES[target][field], strict=False)
            for number in value if isinstance(value, tuple) else (value,):
                check_number(number, key in POSITIVE_KEYS)
        except (ValueError, OverflowError) as error:  # includes the errors of msgspec
            raise ValueError(f"{where}{key}: {error}") from None
    return fields


def read_class(info: Any, where: str) -> RequestClass:
    """Parses a request class. Raises ValueError that names the key, prefixed with `where`."""
    fields = read_fields(info, {k: v for k, v in CLASS_KEYS.items() if k != "effect"}, RequestClass, where)
    for key in REQUIRED_CLASS_KEYS:
        if info.get(key) is None:
            raise ValueError(f"{where}{key}: it is missing")
    if info["repeat"] not in list(EFFECTS):
        raise ValueError(f"{where}repeat: unknown word {info['repeat']!r}")
    return RequestClass(**fields, effect=Effect(EFFECTS[info["repeat"]]))


def read_list(info: Mapping[str, Any], key: str) -> list[Any]:
    """Returns the list under the key, empty if it is absent."""
    value = info.get(key)
    if not isinstance(value, list | None):
        raise ValueError(f"{key}: a list is expected")
    return value or []


def read_settings(info: Any) -> Settings:
    """Parses a decoded settings object; unknown keys are ignored. Raises ValueError that names the key."""
    top = {field: key for field, key in TOP_LEVEL_KEYS.items() if field not in ("classes", "tenants")}
    flat: dict[str, Any] = {"may_order": False} | read_fields(info, top, Settings)
    for section, names in (
        ("ceilings", CEILING_KEYS),
        ("obligations", OBLIGATION_KEYS),
        ("extra", EXTRA_KEYS),
    ):
        flat |= read_fields(
            {} if info.get(section) is None else info[section], names, Settings, f"{section}."
        )
    classes = [
        read_class(each, f"classes[{n}].")
        for n, each in enumerate(read_list(info, TOP_LEVEL_KEYS["classes"]))
    ]
    tenants = [
        {"name": ""} | read_fields(tenant, TENANT_KEYS, Tenant, f"{TOP_LEVEL_KEYS['tenants']}[{n}].")
        for n, tenant in enumerate(read_list(info, TOP_LEVEL_KEYS["tenants"]))
    ]
    return Settings(
        **flat,
        classes=tuple(classes),
        tenants=tuple(Tenant(**tenant) for tenant in tenants),
        list_on_request=info.get("discovery") == "on_request",
        worth_by_work=info.get("worth-by") == "work",
    )


def load_report_names(info: Any) -> tuple[str, ...]:
    """Returns the names of the values of a load report, in order."""
    return tuple(str(n) for n in info.get("load-report", {}).get("fields", []))
