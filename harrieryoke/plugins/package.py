"""Reads a plug-in from disk: its manifest, code and signature, checked before anything of it runs."""

from __future__ import annotations

import base64
import binascii
import hashlib
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .decide import abi, trust
from .decide.manifest import Budgets, Manifest, ManifestError
from .decide.trust import Signature, TrustedKey, TrustError
from .settings import PluginError, name_from

MOST_CODE = 4 << 20
BARE = {".star": "starlark", ".wat": "wasm", ".wasm": "wasm"}


@dataclass(slots=True)
class Package:
    """One version of a plug-in, as it was read."""

    path: str
    manifest: Manifest
    code: bytes
    digest: str
    signed_by: str | None = None

    def text(self) -> str:
        return f"{self.manifest.name} {self.manifest.version} ({self.digest[:12]})"


def read_bounded(path: Path) -> bytes:
    with open(path, "rb") as file:
        data = file.read(MOST_CODE + 1)
    if len(data) > MOST_CODE:
        raise PluginError(f"{path}: more than {MOST_CODE} bytes")
    return data


def read_package(path: str, budgets: Budgets | None = None) -> Package:
    """A directory with plugin.toml, or a bare file with defaults. Raises PluginError with the place."""
    where = Path(path)
    try:
        if where.is_dir():
            told = read_bounded(where / "plugin.toml")
            manifest = msgspec.convert(tomllib.loads(told.decode("utf-8")), Manifest, strict=False)
            manifest.check()
            code = read_bounded(where / manifest.file)
        elif where.suffix in BARE:
            code = read_bounded(where)
            free = [c for c in abi.CAPABILITIES if c != "body"]
            told = b""
            manifest = Manifest(
                name_from(path),
                "0",
                BARE[where.suffix],
                where.name,
                capabilities=free,
                budgets=budgets or Budgets(),
            )
        elif where.exists():
            raise PluginError(
                f"{path}: a directory with plugin.toml, or a .star, .wat or .wasm file, is wanted"
            )
        else:
            raise PluginError(f"{path}: there is no such file")
    except PluginError:
        raise
    except ManifestError as error:
        raise PluginError(f"{path}/plugin.toml: {error}") from None
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise PluginError(f"{path}: {error}") from None
    found = f"sha256:{hashlib.sha256(code).hexdigest()}"
    if manifest.digest and manifest.digest != found:
        raise PluginError(f"{path}/plugin.toml: digest: {manifest.file} has {found}")
    return Package(path, manifest, code, trust.digest(told, code))


def verify(package: Package, policy: str, trusted: Sequence[TrustedKey], now: float) -> None:
    """Sets `signed_by`, or raises PluginError with the key's name."""
    file = Path(package.path) / "plugin.sig"
    try:
        found = None
        if file.is_file():
            found = msgspec.convert(tomllib.loads(file.read_text()), Signature, strict=False)
        key = trust.key_for(found, policy, trusted, now)
    except TrustError as error:
        raise PluginError(f"{package.path}: {error}") from None
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise PluginError(f"{file}: {error}") from None
    if key is None or found is None:
        return
    from cryptography.exceptions import InvalidSignature
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    try:
        signed = trust.message(package.digest, found.key, found.expires_ms)
        Ed25519PublicKey.from_public_bytes(key.raw()).verify(
            base64.b64decode(found.signature, validate=True), signed
        )
    except (InvalidSignature, binascii.Error, ValueError):
        raise PluginError(f"{package.path}: the signature by the key {key.name!r} is wrong") from None
    package.signed_by = key.name


def sign(package: Package, key: str, private: bytes, expires_ms: float) -> Path:
    """Writes plugin.sig beside the manifest."""
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

    if not Path(package.path).is_dir():
        raise PluginError(f"{package.path}: only a directory with plugin.toml can be signed")
    made = Ed25519PrivateKey.from_private_bytes(private).sign(trust.message(package.digest, key, expires_ms))
    file = Path(package.path) / "plugin.sig"
    file.write_text(
        f'key = "{key}"\nsignature = "{base64.b64encode(made).decode()}"\n' f"expires_ms = {expires_ms:.0f}\n"
    )
    return file
