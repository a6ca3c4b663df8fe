"""The one place where configuration is read, checked and given its defaults."""

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
from .settings import check_figure, read_list, read_settings

READS = 3  # of a file that changes meanwhile
# Limits' field -> where the settings' ceilings have it: what may change while the invoker serves
CEILED = {
    "open_calls": "open-cap",
    "streams_per_link": "streams-per-conn",
    "dial_ms": "dial-timeout",
    "link_idle_ms": "conn-idle",
}
NAME_MOST = 256


class PlatformLimits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class PlatformFile(msgspec.Struct):
    """RELAY_CONFIG."""

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
    """What the invoker was told, checked."""

    name: str
    listen: tuple[str, int]
    management: tuple[str, int] | None
    seed: int
    bus: tuple[str, int]
    known: KnownEvents
    settings: i.Settings
    limits: Limits
    operator: Operator | None
    folder: Path | None  # what outlives the process in an upgrade is here
    told: dict[str, Any]  # the whole file, without the events up to the start
    written: float  # when the file was, in milliseconds of the process's clock: `known` is no newer


def read_ceilings(wire: Mapping[str, Any]) -> dict[str, Any]:
    """Fields of `Limits` as the settings' ceilings have them; 0 and null keep the default. Raises
    ConfigError."""
    usual, ceilings, read = Limits(), wire.get("ceilings") or {}, dict[str, Any]()
    for ours, theirs in CEILED.items():
        try:
            told = ceilings.get(theirs) or getattr(usual, ours)
            read[ours] = msgspec.convert(told, type(getattr(usual, ours)), strict=False)
            check_figure(read[ours], above_0=True)
        except (ValueError, OverflowError) as error:  # msgspec's are among them
            raise ConfigError(f"settings.ceilings.{theirs}: {error}") from None
    return read


def read_limits(told: PlatformLimits, wire: Mapping[str, Any], own: Mapping[str, float]) -> Limits:
    """The platform's limits and the settings' ceilings over the defaults; the operator's over all."""
    usual = Limits()
    for key in ("memory_mb", "sockets"):
        if getattr(told, key) < 16:
            raise ConfigError(f"limits.{key}: {getattr(told, key)} is too little")
    filled = replace(usual, sockets=told.sockets, memory_mb=told.memory_mb, **read_ceilings(wire))
    for key, value in own.items():
        if key not in Limits.__dataclass_fields__ or value <= 0:
            raise ConfigError(f"limits.{key}: no such limit, or not above 0")
    return replace(filled, **{k: type(getattr(usual, k))(v) for k, v in own.items()})


def read_names(wire: Mapping[str, Any]) -> i.Settings:
    """The settings with the names of zones and kinds, which only an invoker with hosts wants, and with names
    that can go over the wire. Raises ValueError, which names the key."""
    zones, kinds = (tuple(str(n) for n in read_list(wire, key)) for key in ("zones", "flavors"))
    settings = replace(read_settings(wire), zones=zones, kinds=kinds)
    for key, names in (
        ("classes", [c.name for c in settings.classes]),
        ("realms", [t.name for t in settings.tenants]),
    ):
        for n, name in enumerate(names):
            if name in names[:n]:
                raise ValueError(f"{key}[{n}].name: a second {name!r}")
    for n, c in enumerate(settings.classes):
        # guards against a name that splits a frame's fields, or is longer than they may be
        if not c.name.isprintable() or not 0 < len(c.name) <= NAME_MOST or set(c.name) & set(",="):
            raise ValueError(f"classes[{n}].name: 1 to {NAME_MOST} printable characters without ',' and '='")
    return settings


@dataclass(frozen=True, slots=True)
class FileContent:
    """A file as of one moment, and when it was last written, in milliseconds of the process's clock."""

    data: bytes
    written: float


def read_whole(path: Path) -> FileContent:
    """The bytes as of one moment. Guards against a file that changes while it is read. Raises ConfigError."""
    for _ in range(READS):
        before, data, after = path.stat(), path.read_bytes(), path.stat()
        if all(getattr(before, key) == getattr(after, key) for key in ("st_ino", "st_size", "st_mtime_ns")):
            age = max(0.0, wall_ms() - after.st_mtime_ns / 1e6)
            return FileContent(data, now_ms() - age)
    raise ConfigError("RELAY_CONFIG: it changes while it is read")


def read_config(operator: Operator | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """RELAY_CONFIG, with RELAY_NAME, RELAY_LISTEN and RELAY_MANAGEMENT over it; the operator's file is
    checked against it. Raises ConfigError."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        file = read_whole(Path(path))
        whole = msgspec.json.decode(file.data)
        told = msgspec.convert(whole, PlatformFile)
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    try:
        settings = read_names(told.settings)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    try:
        seed = int(told.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {told.seed!r}") from None
    limits = read_limits(told.limits, told.settings, {} if operator is None else operator.limits)
    if operator is not None:
        operator.check(settings, limits)
    management = env.get("RELAY_MANAGEMENT") or told.management
    return Config(
        name=env.get("RELAY_NAME") or told.name or "-",
        listen=read_address("RELAY_LISTEN", env.get("RELAY_LISTEN") or told.listen),
        management=read_address("RELAY_MANAGEMENT", management) if management else None,
        seed=seed,
        bus=read_address("bus", told.bus),
        known=told.known,
        settings=settings,
        limits=limits,
        operator=operator,
        folder=Path(env["TMPDIR"]) if management and env.get("TMPDIR") else None,
        told={key: value for key, value in whole.items() if key != "known"},
        written=file.written,
    )
