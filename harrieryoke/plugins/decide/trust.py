"""Whether a plug-in's signature will do. Its arithmetic is the library's; this is the judgement."""

from __future__ import annotations

import base64
import binascii
import hashlib
from collections.abc import Sequence

import msgspec

POLICIES = ("optional", "required")


class TrustError(ValueError):
    """Why a signature will not do; the message names the key."""


class TrustedKey(msgspec.Struct, forbid_unknown_fields=True):
    """A key that the operator trusts: base64 of the 32 bytes; `until_ms` is Unix time, 0 for no end."""

    name: str
    key: str
    until_ms: float = 0.0

    def raw(self) -> bytes:
        try:
            raw = base64.b64decode(self.key, validate=True)
        except (binascii.Error, ValueError):
            raw = b""
        if len(raw) != 32:
            raise TrustError(f"plugins.trusted: the key {self.name!r} is not base64 of 32 bytes")
        return raw


class Signature(msgspec.Struct, forbid_unknown_fields=True):
    """plugin.sig."""

    key: str  # the signer's name
    signature: str  # base64, over `message`
    expires_ms: float = 0.0


def digest(manifest: bytes, code: bytes) -> str:
    """Of a version: what is the same has the same digest, whatever its name and place."""
    return hashlib.sha256(hashlib.sha256(manifest).digest() + hashlib.sha256(code).digest()).hexdigest()


def message(version_digest: str, key: str, expires_ms: float) -> bytes:
    """What is signed."""
    return f"harrieryoke plug-in 1\n{version_digest}\n{key}\n{expires_ms:.0f}\n".encode()


def key_for(
    found: Signature | None, policy: str, trusted: Sequence[TrustedKey], now: float
) -> TrustedKey | None:
    """The key that must have made the signature, or None where none is needed. Raises TrustError."""
    if found is None:
        if policy == "required":
            raise TrustError('it is not signed, and plugins.signed = "required"')
        return None
    key = next((k for k in trusted if k.name == found.key), None)
    if key is None:
        raise TrustError(f"it is signed by the key {found.key!r}, which is not trusted here")
    if key.until_ms and now > key.until_ms:
        raise TrustError(f"the trusted key {key.name!r} has expired")
    if found.expires_ms and now > found.expires_ms:
        raise TrustError(f"its signature by the key {key.name!r} has expired")
    return key
