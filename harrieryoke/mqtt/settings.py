"""The [mqtt] table of the operator's file."""

from __future__ import annotations

import msgspec

from .triggers import Trigger

MQTT_5 = "5"


class MqttSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The [mqtt] table of the operator's file."""

    broker: str
    client_id: str = "harrieryoke"
    version: str = MQTT_5  # or "3.1.1"
    username: str | None = None
    password_file: str | None = None
    ca_file: str | None = None
    keepalive_s: int = 30
    session_expiry_s: int = 3600
    receive_maximum: int = 64
    remember_s: float = 600.0
    remember_bytes: int = 8 * 1024 * 1024
    trigger: list[Trigger] = []
