"""TLS towards the collector: its files are checked when they are read, so that a wrong one is named at
once."""

from __future__ import annotations

import ssl
import time

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from gevent.ssl import SSLContext

from .settings import CollectorSettings, LedgerError


def context(told: CollectorSettings) -> SSLContext | None:
    """For all connections until the next reload, whatever becomes of the files. None without TLS. Raises
    LedgerError that names the key and the file: missing, no PEM, expired, not yet valid, a key that is not
    the certificate's."""
    if not told.ca:
        return None
    for each in certificates("ca", told.ca):
        valid("ca", told.ca, each)
    made = SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # it checks certificate and name
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.load_verify_locations(told.ca)
    if told.certificate:
        own = certificates("certificate", told.certificate)[0]
        valid("certificate", told.certificate, own)
        try:
            with open(told.key, "rb") as file:
                key = serialization.load_pem_private_key(file.read(), None)
        except OSError as error:
            raise LedgerError(f"ledger.collector.key: {error}") from None
        except (ValueError, TypeError) as error:
            raise LedgerError(f"ledger.collector.key: {told.key}: {error}") from None
        form = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
        if key.public_key().public_bytes(*form) != own.public_key().public_bytes(*form):
            raise LedgerError(f"ledger.collector.key: {told.key} is not the key of {told.certificate}")
        made.load_cert_chain(told.certificate, told.key)
    return made


def certificates(key: str, path: str) -> list[x509.Certificate]:
    try:
        with open(path, "rb") as file:
            return x509.load_pem_x509_certificates(file.read())
    except OSError as error:
        raise LedgerError(f"ledger.collector.{key}: {error}") from None
    except ValueError as error:
        raise LedgerError(f"ledger.collector.{key}: {path}: {error}") from None


def valid(key: str, path: str, certificate: x509.Certificate) -> None:
    now, begin = time.time(), certificate.not_valid_before_utc
    end = certificate.not_valid_after_utc
    if now >= end.timestamp():
        raise LedgerError(f"ledger.collector.{key}: {path} has expired at {end:%Y-%m-%d %H:%M} UTC")
    if now < begin.timestamp():
        raise LedgerError(f"ledger.collector.{key}: {path} is valid only from {begin:%Y-%m-%d %H:%M} UTC on")
