"""The operator's file: reading, checking, and the parts that it enables. The platform's start has no such
file and loads none of these parts."""

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
from .mqtt.front import BrokerActor
from .mqtt.settings import MqttSettings
from .mqtt.triggers import TriggerReader
from .ops import OpsServer, OpsSettings
from .parts import Parts
from .plugins.gate import PluginGate
from .plugins.settings import PluginError, PluginsSettings
from .store.settings import StoreError, StoreSettings
from .structured import FORMATS, LogSettings, StructuredLog

BUSY_MAILBOX_MESSAGES = 64  # background work pauses while more than this many wait for the module


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """The tables of the operator's file. Without any, only the platform's front is served."""

    mqtt: MqttSettings | None = None
    plugins: PluginsSettings | None = None
    door: DoorSettings | None = None
    ops: OpsSettings | None = None
    log: LogSettings | None = None
    store: StoreSettings | None = None
    background: BackgroundSettings = msgspec.field(default_factory=BackgroundSettings)
    ledger: LedgerSettings | None = None
    council: CouncilSettings | None = None
    asyncapi: str | None = None  # path of a document with more triggers
    limits: dict[str, float] = {}

    def check(self, settings: i.Settings, limits: Limits) -> None:
        """Check the tables against the platform's configuration. Raises ConfigError."""
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
            raise ConfigError(f"log.format: must be one of {', '.join(FORMATS)}, not {self.log.format!r}")

    def make_log(self, name: str, lines_per_s: int) -> Log:
        """Return a log in the format of the [log] table."""
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
        """Return the parts that the file enables, with plug-ins loaded. Raises ConfigError."""
        parts = Parts()
        if self.mqtt is not None:
            address = read_address("mqtt.broker", self.mqtt.broker)
            parts.broker = BrokerActor(self.mqtt, address, maker, core, limits, log)
        if self.door is not None:
            parts.door = DoorActor(self.door, settings, core, limits, log, secrets.randbits(62))
        if self.plugins is not None and self.plugins.use:
            try:
                parts.gate = gate = PluginGate(self.plugins, settings, core, limits, log)
                gate.load_all()
            except PluginError as error:
                raise ConfigError(str(error)) from None
        duty_turns = None
        if self.council is not None:
            try:
                parts.council = council = CouncilPart(self.council, log.name, log, secrets.randbits(62))
            except CouncilError as error:
                raise ConfigError(str(error)) from None
            duty_turns = council.turns if DUTY in self.council.duties else None
        if self.ledger is not None:
            try:
                parts.ledger = LedgerPart(
                    self.ledger,
                    self.store,
                    self.background,
                    log.name,
                    settings,
                    limits,
                    log,
                    secrets.randbits(62),
                    lambda: len(core.mailbox) > BUSY_MAILBOX_MESSAGES,
                    duty_turns,
                )
            except (LedgerError, StoreError) as error:
                raise ConfigError(str(error)) from None
        if self.ops is not None:
            parts.ops = OpsServer(read_address("ops.listen", self.ops.listen), answer, limits, log)
        return parts

    def apply_reload(self, new: OperatorFile, name: str, parts: Parts) -> None:
        """Apply the reloadable keys: the council's members, voters, duties and weight. Raises ConfigError."""
        if self.council is None or new.council is None or parts.council is None:
            return
        try:
            self.council = self.council.with_reloadable_keys(new.council, name)
        except CouncilError as error:
            raise ConfigError(str(error)) from None
        parts.council.reload(self.council)


def read_operator(path: str) -> OperatorFile:
    """Read the operator's TOML file. Paths in it are relative to its folder. Raises ConfigError."""
    try:
        file = msgspec.convert(tomllib.loads(Path(path).read_text()), OperatorFile, strict=False)
        folder = Path(path).parent
        for plugin in [] if file.plugins is None else file.plugins.use:
            plugin.path = str(folder / plugin.path)
        if file.store is not None:
            file.store.folder = str(folder / file.store.folder)
        if file.council is not None:
            file.council.folder = str(folder / file.council.folder)
        if file.ledger is not None and (collector := file.ledger.collector) is not None:
            for key in ("ca", "certificate", "key"):
                if getattr(collector, key):
                    setattr(collector, key, str(folder / getattr(collector, key)))
        if file.asyncapi is not None:
            if file.mqtt is None:
                raise ConfigError("asyncapi: an [mqtt] table is required")
            file.mqtt.trigger = file.mqtt.trigger + read_asyncapi(str(folder / file.asyncapi))
    except (OSError, ValueError, msgspec.MsgspecError, DescriptionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if file.ops is not None:
        read_address("ops.listen", file.ops.listen)
    return file


def check_mqtt(mqtt: MqttSettings, settings: i.Settings, limits: Limits) -> None:
    """Raises ConfigError."""
    read_address("mqtt.broker", mqtt.broker)
    if mqtt.version not in ("5", "3.1.1"):
        raise ConfigError(f"mqtt.version: must be '5' or '3.1.1', not {mqtt.version!r}")
    for key, minimum, maximum in (
        ("receive_maximum", 1, 4096),
        ("keepalive_s", 5, 65535),
        ("remember_s", 7, 1e6),
    ):
        if not minimum <= getattr(mqtt, key) <= maximum:
            raise ConfigError(f"mqtt.{key}: must be between {minimum} and {maximum}")
    if not mqtt.trigger:
        raise ConfigError("mqtt.trigger: at least one is required")
    try:
        TriggerReader(mqtt.trigger, CallMaker(settings, limits))
    except ValueError as error:
        raise ConfigError(str(error)) from None
