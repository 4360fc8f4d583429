"""Mutual TLS between daemons, with certificates that may be replaced."""

from __future__ import annotations

import ssl
from pathlib import Path

import logbook
from anyio.abc import ByteStream
from anyio.streams.tls import TLSStream

log = logbook.Logger("pomeloyard.peers.tls")


class PeerTls:
    """Wraps connections; certificate files are read again when they change.

    Both sides must present a certificate signed by the fleet's own authority.
    Host names are not compared: entry VMs are replaced and change addresses,
    and the authority signs only daemons.
    """

    def __init__(self, certificate: Path, key: Path, authority: Path) -> None:
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._loaded_from: tuple[object, ...] = ()
        self._contexts = self._load()
        self._loaded_from = self._versions()

    async def wrap(self, stream: ByteStream, *, server_side: bool) -> ByteStream:
        """Return the encrypted stream after a handshake."""
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
            versions = self._versions()
            if versions != self._loaded_from:
                self._contexts = self._load()
                self._loaded_from = versions
                log.info("certificates were read again")
        except OSError as error:  # ssl.SSLError is an OSError.
            # The files may be half written; the earlier ones stay in use.
            log.warning("certificates not read: {}", error)

    def _versions(self) -> tuple[object, ...]:
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
