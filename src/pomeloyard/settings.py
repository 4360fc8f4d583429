"""Settings of one daemon, read from a TOML file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .errors import SettingsError


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Addresses are "host:port"; ``store_url`` is an HTTP address."""

    vm: str
    region: str = ""
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    metrics_address: str
    store_url: str
    directory_url: str
    peers: tuple[str, ...] = ()
    peer_listen_address: str = ""
    """Where to listen for other daemons, if not at ``peer_address``."""
    peer_certificate_file: str = ""
    peer_key_file: str = ""
    peer_ca_file: str = ""
    """With all three files set, links between daemons use mutual TLS."""
    shutdown_seconds: float = 10.0
    log_file: str = ""
    bootstrap_key_sha256: str = ""
    """Hash of the first operator's key, valid until a publisher's key is granted."""


def load_settings(path: Path) -> DaemonSettings:
    """Read and check a settings file; raises SettingsError."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    known = {f.name for f in msgspec.inspect.type_info(DaemonSettings).fields}  # type: ignore[attr-defined]
    unknown = sorted(set(values) - known)
    if unknown:
        raise SettingsError(f"{path}: unknown settings: {', '.join(unknown)}")
    try:
        return msgspec.convert(values, DaemonSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
