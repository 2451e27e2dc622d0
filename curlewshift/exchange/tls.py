"""TLS on both sides, and certificates that are renewed while a process runs. By the standard library's ssl."""

from __future__ import annotations

import ssl
from pathlib import Path


class InvalidCertificate(Exception):
    """A certificate, key or authority that cannot be used; the text names the file."""


class ServerTls:
    """For the answering side: `context` takes what the files have when they were last read."""

    def __init__(self, certificate: Path, key: Path):
        self.certificate, self.key, self.stamp = certificate, key, None
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.load()

    def load(self) -> None:
        """Raises `InvalidCertificate`, and keeps what was in force. Connections that are up stay as they are."""
        try:
            # tried on another context first: a half-written pair must not end up in the one that serves
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(self.certificate, self.key)
            self.context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as wrong:
            raise InvalidCertificate(f"{self.certificate} and {self.key}: {wrong}") from None
        self.stamp = self._now()

    def changed(self) -> bool:
        return self._now() != self.stamp

    def _now(self):
        return tuple(
            (file.stat().st_mtime_ns, file.stat().st_size) if file.exists() else None for file in (self.certificate, self.key)
        )


def client_context(authority: Path) -> ssl.SSLContext:
    """For the asking side: only what this authority has signed, for the very name that is asked. Raises
    `InvalidCertificate`."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as wrong:
        raise InvalidCertificate(f"{authority}: {wrong}") from None
    return context
