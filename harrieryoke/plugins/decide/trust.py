"""Whether a plug-in's signature is acceptable. The cryptographic check itself is done in package.py."""

from __future__ import annotations

import base64
import binascii
import hashlib
from collections.abc import Sequence

import msgspec

SIGNATURE_POLICIES = ("optional", "required")
PUBLIC_KEY_BYTES = 32


class TrustError(ValueError):
    """A signature or a trusted key is not acceptable; the message names the key."""


class TrustedKey(msgspec.Struct, forbid_unknown_fields=True):
    """A key that the operator trusts: base64 of its 32 bytes; `until_ms` is Unix time, 0 for no end."""

    name: str
    key: str
    until_ms: float = 0.0

    def decode(self) -> bytes:
        try:
            decoded = base64.b64decode(self.key, validate=True)
        except (binascii.Error, ValueError):
            decoded = b""
        if len(decoded) != PUBLIC_KEY_BYTES:
            raise TrustError(f"plugins.trusted: the key {self.name!r} is not base64 of 32 bytes")
        return decoded


class Signature(msgspec.Struct, forbid_unknown_fields=True):
    """plugin.sig."""

    key: str  # the signer's name
    signature: str  # base64, over `signed_message`
    expires_ms: float = 0.0


def version_digest(manifest: bytes, code: bytes) -> str:
    """Digest of a version's contents; independent of the plug-in's name and path."""
    return hashlib.sha256(hashlib.sha256(manifest).digest() + hashlib.sha256(code).digest()).hexdigest()


def signed_message(digest: str, key: str, expires_ms: float) -> bytes:
    """The bytes that a signature covers."""
    return f"harrieryoke plug-in 1\n{digest}\n{key}\n{expires_ms:.0f}\n".encode()


def signing_key(
    signature: Signature | None, policy: str, trusted: Sequence[TrustedKey], now: float
) -> TrustedKey | None:
    """The trusted key to verify the signature with, or None if there is none and none is required.

    Raises TrustError.
    """
    if signature is None:
        if policy == "required":
            raise TrustError('the plug-in is not signed, and plugins.signed = "required"')
        return None
    key = next((k for k in trusted if k.name == signature.key), None)
    if key is None:
        raise TrustError(f"signed by the key {signature.key!r}, which is not trusted here")
    if key.until_ms and now > key.until_ms:
        raise TrustError(f"the trusted key {key.name!r} has expired")
    if signature.expires_ms and now > signature.expires_ms:
        raise TrustError(f"the signature by the key {key.name!r} has expired")
    return key
