"""A private authority for a small site: makes its certificate, and signs those of fronts and servers.

By the library `cryptography`. Keys are P-256; the authority's never leaves its folder, which only its owner may read.
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
# Signed ones are short-lived: they are renewed while the front runs, and nothing here revokes.
DAYS = 90


class AuthorityError(Exception):
    """There is no authority in the folder, or one already; the text says which."""


def _name(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common)])


def _write(path: Path, data: bytes) -> None:
    """Readable by the owner alone, and whole or not at all."""
    beside = path.with_name(path.name + ".new")
    with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
    os.replace(beside, path)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())


def _builder(subject: str, issuer: x509.Name, key, days: float, now: datetime.datetime) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def make_authority(folder: Path, name: str) -> Path:
    """Writes `authority.pem` and its key; returns the former. Raises `AuthorityError` if there is one."""
    folder.mkdir(parents=True, exist_ok=True, mode=0o700)
    if (folder / "authority.key").exists():
        raise AuthorityError(f"{folder} has an authority already")
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    certificate = (
        _builder(name, _name(name), key.public_key(), AUTHORITY_DAYS, now)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write(folder / "authority.key", _key_bytes(key))
    _write(folder / "authority.pem", certificate.public_bytes(serialization.Encoding.PEM))
    return folder / "authority.pem"


def issue(folder: Path, names: list[str], out: Path, days: float = DAYS) -> tuple[Path, Path]:
    """A certificate and key for these hosts (names or addresses), as `out`.pem and `out`.key. Raises `AuthorityError`."""
    try:
        signer = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
        authority = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    except (OSError, ValueError) as wrong:
        raise AuthorityError(f"{folder} has no authority that can be read: {wrong}") from None
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    certificate = (
        _builder(names[0], authority.subject, key.public_key(), days, now)
        .add_extension(x509.SubjectAlternativeName([_general(name) for name in names]), critical=False)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False)
        .sign(signer, hashes.SHA256())
    )
    pem, secret = out.with_name(out.name + ".pem"), out.with_name(out.name + ".key")
    _write(secret, _key_bytes(key))
    _write(pem, certificate.public_bytes(serialization.Encoding.PEM))
    return pem, secret


def _general(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)
