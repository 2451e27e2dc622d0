"""A private certificate authority for a small site: creates its certificate, and issues those of fronts and servers.

Uses the library `cryptography`. Keys are P-256; the authority's key stays in its folder, which only the owner may read.
"""

from __future__ import annotations

import datetime
import ipaddress
import os
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

AUTHORITY_DAYS = 3650
# Issued certificates are short-lived, as there is no revocation; they can be renewed while a front runs.
CERTIFICATE_DAYS = 90


class AuthorityError(Exception):
    """The folder holds no authority, or holds one already; the text says which."""


def _distinguished_name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _write_private(path: Path, data: bytes) -> None:
    """Writes a file atomically, readable by the owner only."""
    temporary = path.with_name(path.name + ".new")
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
    os.replace(temporary, path)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())


def _builder(subject: str, issuer: x509.Name, key, days: float, now: datetime.datetime) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_distinguished_name(subject))
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def make_authority(folder: Path, name: str) -> Path:
    """Creates `authority.pem` and `authority.key`; returns the path of the certificate. Raises `AuthorityError` if
    the folder has a key already."""
    folder.mkdir(parents=True, exist_ok=True, mode=0o700)
    if (folder / "authority.key").exists():
        raise AuthorityError(f"{folder} already holds an authority")
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    certificate = (
        _builder(name, _distinguished_name(name), key.public_key(), AUTHORITY_DAYS, now)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write_private(folder / "authority.key", _key_bytes(key))
    _write_private(folder / "authority.pem", certificate.public_bytes(serialization.Encoding.PEM))
    return folder / "authority.pem"


def issue(folder: Path, names: list[str], out: Path, days: float = CERTIFICATE_DAYS) -> tuple[Path, Path]:
    """Issues a certificate for these hosts (names or addresses), written as `out`.pem and `out`.key. Raises `AuthorityError`."""
    try:
        authority_key = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
        authority = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    except (OSError, ValueError) as error:
        raise AuthorityError(f"{folder} holds no readable authority: {error}") from None
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    certificate = (
        _builder(names[0], authority.subject, key.public_key(), days, now)
        .add_extension(x509.SubjectAlternativeName([_general_name(name) for name in names]), critical=False)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(authority_key.public_key()), critical=False)
        .sign(authority_key, hashes.SHA256())
    )
    certificate_path, key_path = out.with_name(out.name + ".pem"), out.with_name(out.name + ".key")
    _write_private(key_path, _key_bytes(key))
    _write_private(certificate_path, certificate.public_bytes(serialization.Encoding.PEM))
    return certificate_path, key_path


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)
