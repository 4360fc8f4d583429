"""Settings files with errors, reloading of TLS files, and the reference page."""

from __future__ import annotations

import contextlib
import ssl
from pathlib import Path

import pytest
import trustme
from cryptography import x509
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pomeloyard.config.reference import reference_page
from pomeloyard.errors import SettingsError
from pomeloyard.settings import DaemonSettings, load_settings
from pomeloyard.tls import ReloadableContext, TlsContexts, TlsFiles

GOOD = """\
vm = "entry-1"
availability_zone = "bulacan"
caller_address = "127.0.0.1:8080"
operator_address = "127.0.0.1:8081"
peer_address = "[::1]:8082"
metrics_address = "localhost:8083"
store_url = "http://127.0.0.1:2379"
directory_url = "http://127.0.0.1:2380"
"""

# Each row: text replaced in GOOD, replacement, line and key of the error, its text.
FAULTS = [
    ('vm = "entry-1"', "vm = 3", 1, "vm", "a text"),
    ('vm = "entry-1"', "", 0, "vm", "is missing"),
    ('vm = "entry-1"', 'vm = "E_1"', 1, "vm", "lower-case"),
    ("caller_address", "caler_address", 3, "caler_address", '"caller_address"?'),
    ("127.0.0.1:8080", "127.0.0.1", 3, "caller_address", "host:port"),
    ("127.0.0.1:8080", "127.0.0.1:99999", 3, "caller_address", "host:port"),
    ("127.0.0.1:8080", "10.0.0.1:8080", 3, "caller_address", "allow_plaintext"),
    ("127.0.0.1:8080", "127.0.0.1:8081", 4, "operator_address", "an own address"),
    ("http://127.0.0.1:2379", "ftp://x", 7, "store_url", "http or https"),
    ("http://127.0.0.1:2379", "http://[x", 7, "store_url", "http or https"),
    ("\nstore", "\nshutdown_seconds = -1\nstore", 7, "shutdown_seconds", "0 to 3600"),
    ("\nstore", "\nshutdown_seconds = nan\nstore", 7, "shutdown_seconds", "0 to 3600"),
    ("\nstore", '\nlog_level = "loud"\nstore', 7, "log_level", "debug, info"),
    ("\nstore", '\npeers = ["a"]\nstore', 7, "peers", "host:port"),
    ("\nstore", '\nbootstrap_key_sha256 = "x"\nstore', 7, "bootstrap_key", "64 lower"),
    (
        "\nstore",
        '\ncaller_key_file = "/absent"\nstore',
        7,
        "caller_key_file",
        "readable",
    ),
]


@pytest.mark.parametrize(("old", "new", "line", "key", "text"), FAULTS)
def test_each_fault_is_reported_with_its_line(tmp_path, old, new, line, key, text):
    file = tmp_path / "daemon.toml"
    file.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(file)
    place = f"{file}:{line}: " if line else f"{file}: "
    lines = str(caught.value).splitlines()
    assert any(ln.startswith(place + key) and text in ln for ln in lines), lines


def test_all_errors_are_reported_at_once(tmp_path):
    file = tmp_path / "daemon.toml"
    content = GOOD.replace("8080", "x").replace("http://127.0.0.1:2379", "")
    file.write_text(content + "log_queue_lines = 1\n")
    with pytest.raises(SettingsError) as caught:
        load_settings(file)
    assert len(str(caught.value).splitlines()) == 3


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.binary(max_size=120))
def test_any_file_gives_settings_or_the_typed_error(tmp_path, content):
    file = tmp_path / "daemon.toml"
    file.write_bytes(GOOD.encode() + content)
    try:
        loaded = load_settings(file)
    except SettingsError:
        loaded = None
    assert loaded is None or isinstance(loaded, DaemonSettings)


def test_reference_page_matches_the_data_classes():
    page = Path(__file__).parents[2] / "docs" / "configuration.md"
    assert page.read_text() == reference_page()


def write_certificate(directory, ca, name):
    certificate = ca.issue_cert(name)
    certificate.cert_chain_pems[0].write_to_path(directory / "cert.pem")
    certificate.private_key_pem.write_to_path(directory / "key.pem")


def tls_settings(directory):
    content = GOOD.replace("127.0.0.1:8080", "10.0.0.1:8080")
    for kind, file in (("certificate", "cert"), ("key", "key")):
        content += f'caller_{kind}_file = "{directory}/{file}.pem"\n'
    file = directory / "daemon.toml"
    file.write_text(content)
    return load_settings(file)


def test_changed_certificate_is_used_by_new_connections(tmp_path):
    ca = trustme.CA()
    write_certificate(tmp_path, ca, "first.example")
    server = TlsContexts(tls_settings(tmp_path)).caller
    reloaded = ReloadableContext(
        server, TlsFiles(str(tmp_path / "cert.pem"), str(tmp_path / "key.pem"))
    )
    assert reloaded.reload_if_changed()
    (tmp_path / "cert.pem").write_text("half written")
    assert not reloaded.reload_if_changed()  # keeps the loaded certificate
    assert served_name(server) == "first.example"
    write_certificate(tmp_path, ca, "second.example")
    assert reloaded.reload_if_changed()
    assert served_name(server) == "second.example"


def served_name(context):
    """Return the DNS name in the certificate that a server context presents."""
    client_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client_context.check_hostname = False
    client_context.verify_mode = ssl.CERT_NONE
    to_client, to_server = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = client_context.wrap_bio(to_client, to_server)
    server = context.wrap_bio(to_server, to_client, server_side=True)
    for _ in range(4):
        for end in (client, server):
            with contextlib.suppress(ssl.SSLWantReadError):
                end.do_handshake()
    certificate = x509.load_der_x509_certificate(client.getpeercert(True))
    names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    return names.value.get_values_for_type(x509.DNSName)[0]
