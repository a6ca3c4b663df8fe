"""The operator's file: read, checked, and what it turns on. The platform gives none and loads none of it."""

from __future__ import annotations

import secrets
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from . import interface as i
from .background.settings import BackgroundError, BackgroundSettings
from .checks import ConfigError, read_address
from .core.calls import CallMaker
from .core.module import ModuleActor
from .council.decide.rounds import DUTY
from .council.part import CouncilPart
from .council.settings import CouncilError, CouncilSettings
from .descriptions import DescriptionError, read_asyncapi
from .door.actor import DoorActor
from .door.settings import DoorError, DoorSettings
from .ledger.part import LedgerPart
from .ledger.settings import LedgerError, LedgerSettings
from .limits import Limits
from .log import Log
from .mqtt.front import BrokerActor, MqttSettings
from .mqtt.triggers import TriggerReader
from .ops import OpsServer, OpsSettings
from .parts import Parts
from .plugins.gate import PluginGate
from .plugins.settings import PluginError, PluginsSettings
from .store.settings import StoreError, StoreSettings
from .structured import FORMATS, LogSettings, StructuredLog

BUSY = 64  # messages that wait for the module: background work waits too


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator may add; without it only the platform's front is there."""

    mqtt: MqttSettings | None = None
    plugins: PluginsSettings | None = None
    door: DoorSettings | None = None
    ops: OpsSettings | None = None
    log: LogSettings | None = None
    store: StoreSettings | None = None
    background: BackgroundSettings = msgspec.field(default_factory=BackgroundSettings)
    ledger: LedgerSettings | None = None
    council: CouncilSettings | None = None
    asyncapi: str | None = None  # a document that adds triggers
    limits: dict[str, float] = {}

    def check(self, settings: i.Settings, limits: Limits) -> None:
        """What can only be checked against the platform's configuration."""
        if self.mqtt is not None:
            check_mqtt(self.mqtt, settings, limits)
        classes = [c.name for c in settings.classes]
        try:
            if self.plugins is not None:
                self.plugins.check([t.name for t in settings.tenants], classes)
            if self.door is not None:
                self.door.check()
            if self.store is not None:
                self.store.check()
            self.background.check()
            if self.ledger is not None:
                self.ledger.check(classes)
            if self.council is not None:
                self.council.check()
        except (PluginError, DoorError, StoreError, BackgroundError, LedgerError, CouncilError) as error:
            raise ConfigError(str(error)) from None
        if self.log is not None and self.log.format not in FORMATS:
            raise ConfigError(f"log.format: one of {', '.join(FORMATS)} is wanted, not {self.log.format!r}")

    def make_log(self, name: str, lines_per_s: int) -> Log:
        return Log(name, lines_per_s) if self.log is None else StructuredLog(name, lines_per_s, self.log)

    def parts(
        self,
        settings: i.Settings,
        core: ModuleActor,
        maker: CallMaker,
        limits: Limits,
        log: Log,
        answer: Callable[[str, str, Mapping[str, str]], tuple[int, Any]],
    ) -> Parts:
        """What the file turns on, made ready. Plug-ins are loaded."""
        made = Parts()
        if self.mqtt is not None:
            where = read_address("mqtt.broker", self.mqtt.broker)
            made.broker = BrokerActor(self.mqtt, where, maker, core, limits, log)
        if self.door is not None:
            made.door = DoorActor(self.door, settings, core, limits, log, secrets.randbits(62))
        if self.plugins is not None and self.plugins.use:
            try:
                made.gate = gate = PluginGate(self.plugins, settings, core, limits, log)
                gate.load_all()
            except PluginError as error:
                raise ConfigError(str(error)) from None
        turns = None
        if self.council is not None:
            try:
                made.council = council = CouncilPart(self.council, log.name, log, secrets.randbits(62))
            except CouncilError as error:
                raise ConfigError(str(error)) from None
            turns = council.turns if DUTY in self.council.duties else None
        if self.ledger is not None:
            try:
                made.ledger = LedgerPart(
                    self.ledger,
                    self.store,
                    self.background,
                    log.name,
                    settings,
                    limits,
                    log,
                    secrets.randbits(62),
                    lambda: len(core.mailbox) > BUSY,
                    turns,
                )
            except (LedgerError, StoreError) as error:
                raise ConfigError(str(error)) from None
        if self.ops is not None:
            made.ops = OpsServer(read_address("ops.listen", self.ops.listen), answer, limits, log)
        return made

    def apply_reload(self, new: OperatorFile, name: str, made: Parts) -> None:
        """Of the council's table the members, voters, duties and weight."""
        if self.council is None or new.council is None or made.council is None:
            return
        try:
            self.council = self.council.with_reloadable_keys(new.council, name)
        except CouncilError as error:
            raise ConfigError(str(error)) from None
        made.council.reload(self.council)


def read_operator(path: str) -> OperatorFile:
    """The operator's TOML file; paths in it are taken from its own folder."""
    try:
        told = msgspec.convert(tomllib.loads(Path(path).read_text()), OperatorFile, strict=False)
        folder = Path(path).parent
        for use in [] if told.plugins is None else told.plugins.use:
            use.path = str(folder / use.path)
        if told.store is not None:
            told.store.folder = str(folder / told.store.folder)
        if told.council is not None:
            told.council.folder = str(folder / told.council.folder)
        if told.ledger is not None and (collector := told.ledger.collector) is not None:
            for key in ("ca", "certificate", "key"):
                if getattr(collector, key):
                    setattr(collector, key, str(folder / getattr(collector, key)))
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
