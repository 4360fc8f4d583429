"""Settings of one daemon, read from a TOML file."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
import tomllib
from collections.abc import Iterable
from dataclasses import MISSING, dataclass
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from .config.conversion import convert
from .config.problems import ConfigProblem
from .errors import SettingsError

MAX_PORT = 65_535
PER_DAEMON = "daemon"
SAME_FOR_ALL = "daemon, same for all"

_VM_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class SettingInfo:
    """Metadata of a setting besides its type and default."""

    doc: str
    unit: str = ""
    expected: str = ""
    low: float | None = None
    high: float | None = None
    scope: str = PER_DAEMON


def setting(doc: str, default: Any = MISSING, **info: Any) -> Any:
    """Return a dataclass field with a SettingInfo as metadata."""
    metadata = {"setting": SettingInfo(doc, **info)}
    return dataclasses.field(default=default, metadata=metadata)


ADDRESS = "host:port"
URL = "an http or https address"
FILE = "a readable file"
NAME = "1 to 63 lower-case letters, digits and hyphens"
SHA256 = "64 lower-case hex digits"


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Settings of a daemon; addresses are "host:port"."""

    vm: str = setting("Name of the VM in the platform's list", expected=NAME)
    region: str = setting("Region of the VM", "")
    availability_zone: str = setting("Availability zone of the VM", expected=NAME)
    caller_address: str = setting("Listening address for callers", expected=ADDRESS)
    operator_address: str = setting("Listening address for operators", expected=ADDRESS)
    peer_address: str = setting(
        "Listening address for other daemons, reachable by them", expected=ADDRESS
    )
    peer_listen_address: str = setting(
        "Where to listen for other daemons, if not at peer_address",
        "",
        expected=ADDRESS,
    )
    metrics_address: str = setting(
        "Listening address of /metrics, /healthz and /readyz", expected=ADDRESS
    )
    store_url: str = setting(
        "Address of the platform's key-value store", expected=URL, scope=SAME_FOR_ALL
    )
    directory_url: str = setting(
        "Address of the platform's VM service", expected=URL, scope=SAME_FOR_ALL
    )
    peers: tuple[str, ...] = setting(
        "Peer addresses to try when the store is down at the start",
        (),
        expected=ADDRESS,
    )
    shutdown_seconds: float = setting(
        "Longest graceful shutdown", 10.0, unit="seconds", low=0, high=3600
    )
    log_file: str = setting("File for log lines; empty for standard error", "")
    log_level: str = setting(
        "Least level that is logged", "info", expected="debug, info, warning or error"
    )
    log_queue_lines: int = setting(
        "Lines that wait to be written before new ones are dropped",
        10_000,
        unit="lines",
        low=100,
        high=1_000_000,
    )
    bootstrap_key_sha256: str = setting(
        "Hash of the first operator's key, valid until a publisher's key is granted",
        "",
        expected=SHA256,
        scope=SAME_FOR_ALL,
    )
    allow_plaintext: bool = setting(
        "Allow addresses other than loopback without TLS", False
    )
    caller_certificate_file: str = setting(
        "Certificate chain for callers", "", expected=FILE
    )
    caller_key_file: str = setting("Private key for callers", "", expected=FILE)
    operator_certificate_file: str = setting(
        "Certificate chain for operators and metrics", "", expected=FILE
    )
    operator_key_file: str = setting(
        "Private key for operators and metrics", "", expected=FILE
    )
    peer_certificate_file: str = setting(
        "Certificate chain of this daemon towards peers", "", expected=FILE
    )
    peer_key_file: str = setting("Private key towards peers", "", expected=FILE)
    peer_ca_file: str = setting(
        "CA certificates that peers' certificates must come from", "", expected=FILE
    )


TLS_PREFIX_BY_ADDRESS = {
    "caller_address": "caller",
    "operator_address": "operator",
    "metrics_address": "operator",
    "peer_address": "peer",
}


def load_settings(path: Path) -> DaemonSettings:
    """Read and validate a settings file; raises SettingsError listing every error."""
    try:
        text = path.read_bytes().decode()
        values = tomllib.loads(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    settings, problems = convert(values, DaemonSettings, str(path), "")
    if settings is not None:
        problems = list(settings_problems(settings, str(path)))
    if problems or settings is None:
        lines = [str(_with_line(problem, text)) for problem in problems]
        raise SettingsError("\n".join(lines))
    return settings


def settings_problems(
    settings: DaemonSettings, file: str = ""
) -> Iterable[ConfigProblem]:
    """Return a problem for each invalid value."""
    for field in dataclasses.fields(settings):
        info: SettingInfo = field.metadata["setting"]
        value = getattr(settings, field.name)
        for part in value if isinstance(value, tuple) else (value,):
            if not _is_allowed(info, part, required=field.default is MISSING):
                expected = info.expected or f"{info.low:g} to {info.high:g} {info.unit}"
                yield ConfigProblem(
                    file, field.name, f"{part!r} is not allowed", expected
                )
    yield from _tls_problems(settings, file)
    yield from _address_problems(settings, file)


def is_loopback(address: str) -> bool:
    """Tell whether a "host:port" is on the loopback interface.

    >>> is_loopback("127.0.0.1:80"), is_loopback("10.0.0.1:80"), is_loopback("[::1]:80")
    (True, False, True)
    """
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def _is_allowed(info: SettingInfo, value: Any, *, required: bool) -> bool:
    if value == "" and not required:
        return True
    if isinstance(value, int | float) and not isinstance(value, bool):
        low, high = info.low, info.high
        return (low is None or low <= value) and (high is None or value <= high)
    check = _CHECKS_BY_EXPECTED.get(info.expected)
    return check is None or check(value)


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    numeric = port.isascii() and port.isdigit() and len(port) <= 5
    return bool(host) and numeric and 0 < int(port) <= MAX_PORT


def _is_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        return (
            parts.scheme in ("http", "https")
            and bool(parts.hostname)
            and parts.port != 0
        )
    except ValueError:
        return False


def _is_file(value: str) -> bool:
    try:
        with open(value, "rb"):
            return True
    except (OSError, ValueError):
        return False


_CHECKS_BY_EXPECTED = {
    ADDRESS: _is_address,
    URL: _is_url,
    FILE: _is_file,
    NAME: lambda value: bool(_VM_NAME.fullmatch(value)),
    SHA256: lambda value: bool(_SHA256.fullmatch(value)),
    "debug, info, warning or error": lambda value: (
        value in ("debug", "info", "warning", "error")
    ),
}


def _tls_problems(settings: DaemonSettings, file: str) -> Iterable[ConfigProblem]:
    for prefix in sorted(set(TLS_PREFIX_BY_ADDRESS.values())):
        names = [f"{prefix}_certificate_file", f"{prefix}_key_file"]
        if prefix == "peer":
            names.append("peer_ca_file")
        given = [name for name in names if getattr(settings, name)]
        for name in names:
            if given and name not in given:
                yield ConfigProblem(
                    file, name, "is missing", f"a file, as {given[0]} is set"
                )


def _address_problems(settings: DaemonSettings, file: str) -> Iterable[ConfigProblem]:
    name_by_address: dict[str, str] = {}
    for name, prefix in TLS_PREFIX_BY_ADDRESS.items():
        address = getattr(settings, name)
        if name == "peer_address":
            address = settings.peer_listen_address or address
        other = name_by_address.setdefault(address, name)
        if other != name:
            yield ConfigProblem(file, name, f"is the same as {other}", "an own address")
        has_tls = bool(getattr(settings, f"{prefix}_certificate_file"))
        if not (has_tls or settings.allow_plaintext or is_loopback(address)):
            expected = "a loopback address, TLS files or allow_plaintext = true"
            yield ConfigProblem(file, name, f"{address} without TLS", expected)


def _with_line(problem: ConfigProblem, text: str) -> ConfigProblem:
    """Return the problem with the line number of its key, 0 if not found."""
    name = problem.path.lstrip(".")
    key = name.partition(".")[0]
    pattern = re.compile(rf"\s*[\"']?{re.escape(key)}[\"']?\s*=")
    lines = text.splitlines()
    line = next((n for n, content in enumerate(lines, 1) if pattern.match(content)), 0)
    return dataclasses.replace(problem, path=name, line=line)
