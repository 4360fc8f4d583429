"""Mutual TLS between daemons; certificates are reloaded when they change."""

from __future__ import annotations

import ssl
from pathlib import Path

import logbook
from anyio.abc import ByteStream
from anyio.streams.tls import TLSStream

log = logbook.Logger("pomeloyard.peers.tls")


class PeerTls:
    """Wraps connections in TLS and reloads the certificate files when they change.

    Both sides must present a certificate signed by the fleet's own CA. Host
    names are not verified: entry VMs are replaced and change addresses, and the
    CA signs certificates of daemons only.
    """

    def __init__(self, certificate: Path, key: Path, authority: Path) -> None:
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._loaded_versions: tuple[object, ...] = ()
        self._contexts = self._load()
        self._loaded_versions = self._file_versions()

    async def wrap(self, stream: ByteStream, *, server_side: bool) -> ByteStream:
        """Return the encrypted stream after the TLS handshake."""
        self._reload()
        server, client = self._contexts
        return await TLSStream.wrap(
            stream,
            server_side=server_side,
            ssl_context=server if server_side else client,
            standard_compatible=False,
        )

    def _reload(self) -> None:
        try:
            versions = self._file_versions()
            if versions != self._loaded_versions:
                self._contexts = self._load()
                self._loaded_versions = versions
                log.info("TLS certificates reloaded")
        except OSError as error:  # ssl.SSLError is an OSError.
            # The files may be partly written; the previous certificates stay in use.
            log.warning("cannot reload TLS certificates: {}", error)

    def _file_versions(self) -> tuple[object, ...]:
        files = (self._certificate, self._key, self._authority)
        return tuple(
            (s.st_mtime_ns, s.st_size, s.st_ino) for s in map(Path.stat, files)
        )

    def _load(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        contexts = []
        for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
            context = ssl.create_default_context(purpose, cafile=self._authority)
            context.load_cert_chain(self._certificate, self._key)
            context.check_hostname = False
            context.verify_mode = ssl.CERT_REQUIRED
            contexts.append(context)
        return contexts[0], contexts[1]
