"""TLS contexts that take up changed certificate files."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import logbook

from .clock import Clock
from .errors import SettingsError
from .settings import DaemonSettings

RELOAD_INTERVAL = timedelta(seconds=10)

log = logbook.Logger("pomeloyard.tls")


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files in PEM format; ``ca`` is empty where no client certificate is asked."""

    certificate: str
    key: str
    ca: str = ""

    def stamp(self) -> tuple[int, ...]:
        """Return the modification times of the files."""
        names = [name for name in (self.certificate, self.key, self.ca) if name]
        return tuple(Path(name).stat().st_mtime_ns for name in names)


@dataclass(eq=False)
class ReloadedContext:
    """An SSL context whose certificate follows its files.

    New connections use the new certificate; open ones are not interrupted.
    """

    context: ssl.SSLContext
    files: TlsFiles
    stamp: tuple[int, ...] = field(default=())

    def reload_if_changed(self) -> bool:
        """Load the files again if they changed; a failure keeps what was loaded."""
        try:
            stamp = self.files.stamp()
            if stamp == self.stamp:
                return False
            if self.files.ca:
                self.context.load_verify_locations(self.files.ca)
            self.context.load_cert_chain(self.files.certificate, self.files.key)
        except (OSError, ssl.SSLError) as error:
            # The files are often replaced one after the other.
            log.warning("TLS files not loaded: {}", error)
            return False
        self.stamp = stamp
        return True


class TlsContexts:
    """The contexts of one daemon; each is None without TLS."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._reloaded: list[ReloadedContext] = []
        self.caller = self._server("caller", settings)
        self.operator = self._server("operator", settings)
        self.peer_server = self._server("peer", settings)
        self.peer_client: ssl.SSLContext | None = None
        if self.peer_server is not None:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            # Peers are dialled by address; their CA says who they are.
            context.check_hostname = False
            self.peer_client = self._add(context, _files("peer", settings))

    async def run(self, clock: Clock) -> None:
        """Take up changed files until cancelled."""
        while self._reloaded:
            await clock.sleep(RELOAD_INTERVAL)
            for reloaded in self._reloaded:
                if reloaded.reload_if_changed():
                    log.info("TLS certificate {} loaded", reloaded.files.certificate)

    def _server(self, name: str, settings: DaemonSettings) -> ssl.SSLContext | None:
        files = _files(name, settings)
        if not files.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if files.ca:
            context.verify_mode = ssl.CERT_REQUIRED
        return self._add(context, files)

    def _add(self, context: ssl.SSLContext, files: TlsFiles) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        reloaded = ReloadedContext(context, files)
        if not reloaded.reload_if_changed():
            raise SettingsError(f"{files.certificate}, {files.key}: not usable for TLS")
        self._reloaded.append(reloaded)
        return context


def _files(name: str, settings: DaemonSettings) -> TlsFiles:
    return TlsFiles(
        getattr(settings, f"{name}_tls_certificate"),
        getattr(settings, f"{name}_tls_key"),
        settings.peer_tls_ca if name == "peer" else "",
    )
