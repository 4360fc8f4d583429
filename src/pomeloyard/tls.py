"""TLS contexts that reload changed certificate files."""

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
    """Certificate chain and private key in PEM format."""

    certificate: str
    key: str

    def mtimes_ns(self) -> tuple[int, ...]:
        """Return the modification times of the files."""
        names = (self.certificate, self.key)
        return tuple(Path(name).stat().st_mtime_ns for name in names)


@dataclass(eq=False)
class ReloadableContext:
    """An SSL context that is updated when its certificate files change.

    New connections use the new certificate; open ones are not affected.
    """

    context: ssl.SSLContext
    files: TlsFiles
    mtimes_ns: tuple[int, ...] = field(default=())

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; on failure, keep the loaded certificate."""
        try:
            mtimes_ns = self.files.mtimes_ns()
            if mtimes_ns == self.mtimes_ns:
                return False
            self.context.load_cert_chain(self.files.certificate, self.files.key)
        except (OSError, ssl.SSLError) as error:
            # The files are often replaced one after the other; until both are, they do
            # not match.
            log.warning("TLS files not loaded: {}", error)
            return False
        self.mtimes_ns = mtimes_ns
        return True


class TlsContexts:
    """Server contexts for callers and operators; None without TLS."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._reloaded: list[ReloadableContext] = []
        self.caller = self._server_context(
            settings.caller_certificate_file, settings.caller_key_file
        )
        self.operator = self._server_context(
            settings.operator_certificate_file, settings.operator_key_file
        )

    async def run(self, clock: Clock) -> None:
        """Reload changed files until cancelled."""
        while self._reloaded:
            await clock.sleep(RELOAD_INTERVAL)
            for reloaded in self._reloaded:
                if reloaded.reload_if_changed():
                    log.info("TLS certificate {} loaded", reloaded.files.certificate)

    def _server_context(self, certificate: str, key: str) -> ssl.SSLContext | None:
        if not certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        reloaded = ReloadableContext(context, TlsFiles(certificate, key))
        if not reloaded.reload_if_changed():
            raise SettingsError(f"{certificate}, {key}: not usable for TLS")
        self._reloaded.append(reloaded)
        return context
