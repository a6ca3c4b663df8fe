"""What all readers of configuration share: the error that names a key, and addresses."""

from __future__ import annotations

from .net.hostlist_model import parse_address


class ConfigError(ValueError):
    """A key that can't be used; the message begins with its name."""


def read_address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
