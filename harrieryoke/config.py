"""Reads and checks the configuration, and fills in its defaults."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from . import interface as i
from .checks import ConfigError, read_address
from .core.clock import now_ms, wall_ms
from .limits import Limits
from .net.hostlist_model import KnownEvents
from .parts import Operator
from .settings import check_number, read_list, read_settings

MAX_READS = 3  # of a file that changes while it is read
# fields of Limits that a reload may change -> their keys in the settings' ceilings
CEILING_KEYS = {
    "open_calls": "open-cap",
    "streams_per_link": "streams-per-conn",
    "dial_ms": "dial-timeout",
    "link_idle_ms": "conn-idle",
}
MAX_CLASS_NAME_LENGTH = 256


class PlatformLimits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class PlatformFile(msgspec.Struct):
    """The file named by RELAY_CONFIG."""

    bus: str
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    management: str = ""
    seed: str = "0"
    limits: PlatformLimits = msgspec.field(default_factory=PlatformLimits)
    known: KnownEvents = msgspec.field(default_factory=KnownEvents)


@dataclass(slots=True)
class Config:
    """The checked configuration of an invoker."""

    name: str
    listen: tuple[str, int]
    management: tuple[str, int] | None
    seed: int
    bus: tuple[str, int]
    known: KnownEvents
    settings: i.Settings
    limits: Limits
    operator: Operator | None
    upgrade_folder: Path | None  # holds what outlives the process in an upgrade
    file_values: dict[str, Any]  # the file without the known worker list
    file_written_at: float  # in monotonic milliseconds; the list in `known` is not newer


def read_ceilings(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields of `Limits` that the settings' ceilings set; 0 and null keep the default.

    Raises ConfigError.
    """
    defaults, ceilings, read = Limits(), settings.get("ceilings") or {}, dict[str, Any]()
    for field, key in CEILING_KEYS.items():
        try:
            value = ceilings.get(key) or getattr(defaults, field)
            read[field] = msgspec.convert(value, type(getattr(defaults, field)), strict=False)
            check_number(read[field], above_0=True)
        except (ValueError, OverflowError) as error:  # includes the errors of msgspec
            raise ConfigError(f"settings.ceilings.{key}: {error}") from None
    return read


def read_limits(
    platform: PlatformLimits, settings: Mapping[str, Any], operator_limits: Mapping[str, float]
) -> Limits:
    """Return the default limits, overridden by platform, ceilings and operator in this order."""
    defaults = Limits()
    for key in ("memory_mb", "sockets"):
        if getattr(platform, key) < 16:
            raise ConfigError(f"limits.{key}: {getattr(platform, key)} is too little")
    limits = replace(
        defaults, sockets=platform.sockets, memory_mb=platform.memory_mb, **read_ceilings(settings)
    )
    for key, value in operator_limits.items():
        if key not in Limits.__dataclass_fields__ or value <= 0:
            raise ConfigError(f"limits.{key}: no such limit, or not above 0")
    return replace(limits, **{k: type(getattr(defaults, k))(v) for k, v in operator_limits.items()})


def read_invoker_settings(raw_settings: Mapping[str, Any]) -> i.Settings:
    """Return the settings with the names of zones and kinds, which only an invoker with hosts needs.

    Raises ValueError, which names the key, for duplicate names and for those that a frame cannot carry.
    """
    zones, kinds = (tuple(str(n) for n in read_list(raw_settings, key)) for key in ("zones", "flavors"))
    settings = replace(read_settings(raw_settings), zones=zones, kinds=kinds)
    for key, names in (
        ("classes", [c.name for c in settings.classes]),
        ("realms", [t.name for t in settings.tenants]),
    ):
        for n, name in enumerate(names):
            if name in names[:n]:
                raise ValueError(f"{key}[{n}].name: a second {name!r}")
    for n, c in enumerate(settings.classes):
        # a name must not split the fields of a frame or be longer than they may be
        if (
            not c.name.isprintable()
            or not 0 < len(c.name) <= MAX_CLASS_NAME_LENGTH
            or set(c.name) & set(",=")
        ):
            raise ValueError(
                f"classes[{n}].name: 1 to {MAX_CLASS_NAME_LENGTH} printable characters without ',' and '='"
            )
    return settings


@dataclass(frozen=True, slots=True)
class FileContent:
    """The consistent content of a file, and when it was last written in monotonic milliseconds."""

    data: bytes
    written_at: float


def read_unchanged(path: Path) -> FileContent:
    """Read a file again if it changes while it is read. Raises ConfigError if it keeps changing."""
    for _ in range(MAX_READS):
        before, data, after = path.stat(), path.read_bytes(), path.stat()
        if all(getattr(before, key) == getattr(after, key) for key in ("st_ino", "st_size", "st_mtime_ns")):
            age = max(0.0, wall_ms() - after.st_mtime_ns / 1e6)
            return FileContent(data, now_ms() - age)
    raise ConfigError("RELAY_CONFIG: it changes while it is read")


def read_config(operator: Operator | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """Read the file named by RELAY_CONFIG, and check the operator's file against it.

    RELAY_NAME, RELAY_LISTEN and RELAY_MANAGEMENT override the file. Raises ConfigError.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        file = read_unchanged(Path(path))
        values = msgspec.json.decode(file.data)
        platform_file = msgspec.convert(values, PlatformFile)
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    try:
        settings = read_invoker_settings(platform_file.settings)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    try:
        seed = int(platform_file.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {platform_file.seed!r}") from None
    limits = read_limits(
        platform_file.limits, platform_file.settings, {} if operator is None else operator.limits
    )
    settings = replace(settings, function_bytes=limits.function_bytes())
    if operator is not None:
        operator.check(settings, limits)
    management = env.get("RELAY_MANAGEMENT") or platform_file.management
    return Config(
        name=env.get("RELAY_NAME") or platform_file.name or "-",
        listen=read_address("RELAY_LISTEN", env.get("RELAY_LISTEN") or platform_file.listen),
        management=read_address("RELAY_MANAGEMENT", management) if management else None,
        seed=seed,
        bus=read_address("bus", platform_file.bus),
        known=platform_file.known,
        settings=settings,
        limits=limits,
        operator=operator,
        upgrade_folder=Path(env["TMPDIR"]) if management and env.get("TMPDIR") else None,
        file_values={key: value for key, value in values.items() if key != "known"},
        file_written_at=file.written_at,
    )
