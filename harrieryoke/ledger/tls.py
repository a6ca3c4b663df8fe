"""TLS context for the collector. Files are checked when they are read, so that a bad one is reported at
once."""

from __future__ import annotations

import ssl
import time

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from gevent.ssl import SSLContext

from .settings import CollectorSettings, LedgerError


def create_context(settings: CollectorSettings) -> SSLContext | None:
    """The context for all connections until the next reload; later changes to the files have no effect on it.
    None without TLS. Raises LedgerError naming the key and the file: missing, not PEM, expired, not yet
    valid, or a key that does not match the certificate."""
    if not settings.ca:
        return None
    for certificate in load_certificates("ca", settings.ca):
        check_validity("ca", settings.ca, certificate)
    tls_context = SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies the certificate and the host name
    tls_context.minimum_version = ssl.TLSVersion.TLSv1_2
    tls_context.load_verify_locations(settings.ca)
    if settings.certificate:
        client_certificate = load_certificates("certificate", settings.certificate)[0]
        check_validity("certificate", settings.certificate, client_certificate)
        try:
            with open(settings.key, "rb") as file:
                key = serialization.load_pem_private_key(file.read(), None)
        except OSError as error:
            raise LedgerError(f"ledger.collector.key: {error}") from None
        except (ValueError, TypeError) as error:
            raise LedgerError(f"ledger.collector.key: {settings.key}: {error}") from None
        encoding = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
        if key.public_key().public_bytes(*encoding) != client_certificate.public_key().public_bytes(
            *encoding
        ):
            raise LedgerError(
                f"ledger.collector.key: {settings.key} is not the key of {settings.certificate}"
            )
        tls_context.load_cert_chain(settings.certificate, settings.key)
    return tls_context


def load_certificates(key: str, path: str) -> list[x509.Certificate]:
    try:
        with open(path, "rb") as file:
            return x509.load_pem_x509_certificates(file.read())
    except OSError as error:
        raise LedgerError(f"ledger.collector.{key}: {error}") from None
    except ValueError as error:
        raise LedgerError(f"ledger.collector.{key}: {path}: {error}") from None


def check_validity(key: str, path: str, certificate: x509.Certificate) -> None:
    now, not_before = time.time(), certificate.not_valid_before_utc
    not_after = certificate.not_valid_after_utc
    if now >= not_after.timestamp():
        raise LedgerError(f"ledger.collector.{key}: {path} expired at {not_after:%Y-%m-%d %H:%M} UTC")
    if now < not_before.timestamp():
        raise LedgerError(
            f"ledger.collector.{key}: {path} is not valid before {not_before:%Y-%m-%d %H:%M} UTC"
        )
