"""Reads a plug-in from disk: its manifest, code and signature are checked before any of its code runs."""

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
from .settings import PluginError, name_from_path

MAX_CODE_BYTES = 4 << 20
ENGINE_BY_SUFFIX = {".star": "starlark", ".wat": "wasm", ".wasm": "wasm"}


@dataclass(slots=True)
class Package:
    """One version of a plug-in, as read from disk."""

    path: str
    manifest: Manifest
    code: bytes
    digest: str
    signed_by: str | None = None

    def text(self) -> str:
        return f"{self.manifest.name} {self.manifest.version} ({self.digest[:12]})"


def read_bounded(path: Path) -> bytes:
    with open(path, "rb") as file:
        data = file.read(MAX_CODE_BYTES + 1)
    if len(data) > MAX_CODE_BYTES:
        raise PluginError(f"{path}: more than {MAX_CODE_BYTES} bytes")
    return data


def read_package(path: str, budgets: Budgets | None = None) -> Package:
    """Read a directory with plugin.toml, or a bare file with default settings. Raises PluginError."""
    location = Path(path)
    try:
        if location.is_dir():
            manifest_bytes = read_bounded(location / "plugin.toml")
            manifest = msgspec.convert(tomllib.loads(manifest_bytes.decode("utf-8")), Manifest, strict=False)
            manifest.check()
            code = read_bounded(location / manifest.file)
        elif location.suffix in ENGINE_BY_SUFFIX:
            code = read_bounded(location)
            capabilities = [c for c in abi.CAPABILITIES if c != "body"]
            manifest_bytes = b""
            manifest = Manifest(
                name_from_path(path),
                "0",
                ENGINE_BY_SUFFIX[location.suffix],
                location.name,
                capabilities=capabilities,
                budgets=budgets or Budgets(),
            )
        elif location.exists():
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
    file_digest = f"sha256:{hashlib.sha256(code).hexdigest()}"
    if manifest.digest and manifest.digest != file_digest:
        raise PluginError(f"{path}/plugin.toml: digest: {manifest.file} has {file_digest}")
    return Package(path, manifest, code, trust.version_digest(manifest_bytes, code))


def verify(package: Package, policy: str, trusted: Sequence[TrustedKey], now: float) -> None:
    """Check the signature and set `signed_by`. Raises PluginError with the key's name."""
    file = Path(package.path) / "plugin.sig"
    try:
        signature = None
        if file.is_file():
            signature = msgspec.convert(tomllib.loads(file.read_text()), Signature, strict=False)
        key = trust.signing_key(signature, policy, trusted, now)
    except TrustError as error:
        raise PluginError(f"{package.path}: {error}") from None
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise PluginError(f"{file}: {error}") from None
    if key is None or signature is None:
        return
    from cryptography.exceptions import InvalidSignature
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    try:
        signed = trust.signed_message(package.digest, signature.key, signature.expires_ms)
        Ed25519PublicKey.from_public_bytes(key.decode()).verify(
            base64.b64decode(signature.signature, validate=True), signed
        )
    except (InvalidSignature, binascii.Error, ValueError):
        raise PluginError(f"{package.path}: the signature by the key {key.name!r} is wrong") from None
    package.signed_by = key.name


def sign(package: Package, key: str, private: bytes, expires_ms: float) -> Path:
    """Sign the package: write plugin.sig beside the manifest."""
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

    if not Path(package.path).is_dir():
        raise PluginError(f"{package.path}: only a directory with plugin.toml can be signed")
    signature = Ed25519PrivateKey.from_private_bytes(private).sign(
        trust.signed_message(package.digest, key, expires_ms)
    )
    file = Path(package.path) / "plugin.sig"
    file.write_text(
        f'key = "{key}"\nsignature = "{base64.b64encode(signature).decode()}"\n'
        f"expires_ms = {expires_ms:.0f}\n"
    )
    return file
