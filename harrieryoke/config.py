"""The one place where configuration is read, checked and given its defaults."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from . import interface as i
from .core.calls import CallMaker
from .descriptions import DescriptionError, read_asyncapi
from .limits import Limits
from .mqtt.front import MqttSettings
from .mqtt.triggers import TriggerReader
from .net.hostlist import Known, address
from .ops import OpsSettings
from .plugins import PluginSettings
from .settings import read_settings


class ConfigError(ValueError):
    """A key that can't be used; the message begins with its name."""


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
    seed: str = "0"
    limits: PlatformLimits = msgspec.field(default_factory=PlatformLimits)
    known: Known = msgspec.field(default_factory=Known)


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator may add; without it only the platform's front is there."""

    mqtt: MqttSettings | None = None
    plugin: PluginSettings | None = None
    ops: OpsSettings | None = None
    asyncapi: str | None = None  # a document that adds triggers
    limits: dict[str, float] = {}


@dataclass(slots=True)
class Config:
    """What the invoker was told, checked."""

    name: str
    listen: tuple[str, int]
    seed: int
    bus: tuple[str, int]
    known: Known
    settings: i.Settings
    zones: list[str]
    kinds: list[str]
    limits: Limits
    operator: OperatorFile


def read_address(key: str, text: str) -> tuple[str, int]:
    try:
        return address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_limits(told: PlatformLimits, wire: Mapping[str, Any], own: Mapping[str, float]) -> Limits:
    """The platform's limits and the settings' ceilings over the defaults; the operator's over all."""
    usual = Limits()
    ceilings = wire.get("ceilings") or {}
    for key in ("memory_mb", "sockets"):
        if getattr(told, key) < 16:
            raise ConfigError(f"limits.{key}: {getattr(told, key)} is too little")
    try:
        filled = Limits(
            sockets=told.sockets, memory_mb=told.memory_mb,
            open_calls=int(ceilings.get("open-cap") or usual.open_calls),
            streams_per_link=int(ceilings.get("streams-per-conn") or usual.streams_per_link),
            dial_ms=float(ceilings.get("dial-timeout") or usual.dial_ms),
            link_idle_ms=float(ceilings.get("conn-idle") or usual.link_idle_ms),
        )  # fmt: skip
    except (TypeError, ValueError) as error:
        raise ConfigError(f"settings.ceilings: {error}") from None
    for key, value in own.items():
        if key not in Limits.__dataclass_fields__ or value <= 0:
            raise ConfigError(f"limits.{key}: no such limit, or not above 0")
    return replace(filled, **{k: type(getattr(usual, k))(v) for k, v in own.items()})


def read_operator(path: str | None) -> OperatorFile:
    """The operator's TOML file; paths in it are taken from its own folder."""
    if path is None:
        return OperatorFile()
    try:
        told = msgspec.convert(tomllib.loads(Path(path).read_text()), OperatorFile, strict=False)
        folder = Path(path).parent
        if told.plugin is not None:
            told.plugin.file = str(folder / told.plugin.file)
        if told.asyncapi is not None:
            if told.mqtt is None:
                raise ConfigError("asyncapi: triggers need an [mqtt] table")
            told.mqtt.trigger = told.mqtt.trigger + read_asyncapi(str(folder / told.asyncapi))
    except (OSError, ValueError, msgspec.MsgspecError, DescriptionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if told.ops is not None:
        read_address("ops.listen", told.ops.listen)
    return told


def check_mqtt(told: MqttSettings, settings: i.Settings, limits: Limits) -> None:
    read_address("mqtt.broker", told.broker)
    if told.version not in ("5", "3.1.1"):
        raise ConfigError(f"mqtt.version: '5' or '3.1.1' is wanted, not {told.version!r}")
    for key, least, most in (("receive_maximum", 1, 4096), ("keepalive_s", 5, 65535), ("remember_s", 7, 1e6)):
        if not least <= getattr(told, key) <= most:
            raise ConfigError(f"mqtt.{key}: {least} to {most} is wanted")
    if not told.trigger:
        raise ConfigError("mqtt.trigger: at least one is needed")
    try:
        TriggerReader(told.trigger, CallMaker(settings, limits))
    except ValueError as error:
        raise ConfigError(str(error)) from None


def read_config(operator_path: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """RELAY_CONFIG, with RELAY_NAME and RELAY_LISTEN over it, and the operator's file, where there is one."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        told: PlatformFile = msgspec.json.decode(Path(path).read_bytes(), type=PlatformFile)
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    except msgspec.MsgspecError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from None
    try:
        settings = read_settings(told.settings)
    except (msgspec.MsgspecError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    try:
        seed = int(told.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {told.seed!r}") from None
    operator = read_operator(operator_path)
    limits = read_limits(told.limits, told.settings, operator.limits)
    if operator.mqtt is not None:
        check_mqtt(operator.mqtt, settings, limits)
    return Config(
        name=env.get("RELAY_NAME") or told.name or "-",
        listen=read_address("RELAY_LISTEN", env.get("RELAY_LISTEN") or told.listen),
        seed=seed,
        bus=read_address("bus", told.bus),
        known=told.known,
        settings=settings,
        zones=[str(z) for z in told.settings.get("zones") or []],
        kinds=[str(k) for k in told.settings.get("flavors") or []],
        limits=limits,
        operator=operator,
    )
