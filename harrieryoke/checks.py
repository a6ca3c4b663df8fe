"""Shared by all readers of configuration: the error that names a key, and the parsing of addresses."""

from __future__ import annotations

from .net.hostlist_model import parse_address


class ConfigError(ValueError):
    """A configuration value is not valid; the message begins with its key."""


def read_address(key: str, text: str) -> tuple[str, int]:
    """Parse an address. Raises ConfigError, which names the key."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
