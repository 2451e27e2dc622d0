"""TLS contexts for server and client, and renewal of certificates while a process runs."""

from __future__ import annotations

import ssl
from pathlib import Path


class InvalidCertificate(Exception):
    """A certificate, key or authority that cannot be used; the text names the file."""


class ServerTls:
    """TLS of the server: `context` has the certificate that was last loaded from the files."""

    def __init__(self, certificate: Path, key: Path):
        self.certificate, self.key, self.file_state = certificate, key, None
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.load()

    def load(self) -> None:
        """Loads the files for new connections. Raises `InvalidCertificate`; then the certificate in force stays."""
        try:
            # loaded into another context first, so that a partly written pair does not reach the context in service
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(self.certificate, self.key)
            self.context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as error:
            raise InvalidCertificate(f"{self.certificate} and {self.key}: {error}") from None
        self.file_state = self._file_state()

    def changed(self) -> bool:
        """True if a file has another modification time or size than when it was loaded."""
        return self._file_state() != self.file_state

    def _file_state(self):
        return tuple(
            (file.stat().st_mtime_ns, file.stat().st_size) if file.exists() else None for file in (self.certificate, self.key)
        )


def client_context(authority: Path) -> ssl.SSLContext:
    """TLS of a client: accepts certificates of this authority only, and verifies the host name. Raises `InvalidCertificate`."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        raise InvalidCertificate(f"{authority}: {error}") from None
    return context
