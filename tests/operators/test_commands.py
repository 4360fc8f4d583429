"""Command-line tool with an operator application in the same process."""

from __future__ import annotations

import json
import os
import ssl
from functools import partial

import anyio.from_thread
import click
import pytest
import trustme
from click.testing import CliRunner

from pomeloyard.cli.main import cli
from pomeloyard.fleet_state import DaemonRecord
from pomeloyard.operators.app import operator_app
from pomeloyard.operators.client import OperatorCallError, OperatorClient
from pomeloyard.serving import serving
from tests.operators.test_operator_app import BOOTSTRAP, Operator
from tests.support.processes import free_port

FILES = """
[fleet]
name = "small"
[pools.orders]
executors = 2
[teams.mill]
share = 1.0
limit = 10
"""


@pytest.fixture
def served():
    operator = Operator()
    operator.app = operator_app(operator.daemon._operator_context())
    with (
        anyio.from_thread.start_blocking_portal() as portal,
        portal.wrap_async_context_manager(
            portal.call(serving, operator.app)
        ) as address,
    ):
        operator.address = address
        yield operator


@pytest.fixture
def directory(tmp_path):
    (tmp_path / "fleet.pomeloyard.toml").write_text(FILES)
    return tmp_path


def run(operator, *arguments, output="json", status=0, key=BOOTSTRAP, daemons=()):
    environment = {
        "POMELOYARD_DAEMONS": " ".join([*daemons, operator.address]),
        "POMELOYARD_KEY": key,
        "POMELOYARD_OPTIONS": "",
        "HOME": "/nonexistent",
    }
    result = CliRunner().invoke(
        cli, ["--output", output, *map(str, arguments)], env=environment
    )
    assert result.exit_code == status, (result.output, result.exception)
    return json.loads(result.stdout) if output == "json" and status == 0 else result


def register(operator):
    record = DaemonRecord(operator.daemon.incarnation, "entry-1", "", "", "", "bulacan")
    operator.state.daemons_by_incarnation[operator.daemon.incarnation] = record


def test_publish_status_history_and_rollback(served, directory):
    register(served)
    assert run(served, "config", "publish", "--wait", directory) == 1
    assert run(served, "config", "publish", directory) == 1  # nothing to publish
    file = directory / "fleet.pomeloyard.toml"
    file.write_text(FILES.replace("= 10", "= 20"))
    result = run(served, "config", "check", "--diff", directory, output="table")
    assert "changed teams.mill (limit: 10 -> 20)" in result.stderr
    assert run(served, "config", "publish", directory) == 2
    assert run(served, "config", "rollback", "1") == 3
    assert [r["revision"] for r in run(served, "config", "history")] == [3, 2, 1]
    assert run(served, "config", "status", "--wait")[0]["config_revision"] == 3
    assert run(served, "team", "list")[0]["limit"] == 10


WITHOUT_WARNINGS = (
    FILES
    + """
[services.orders]
pool = "orders"
budget = { min_available = 1 }
"""
)


def check_config(operator, *arguments, status=0):
    return run(operator, "config", "check", *arguments, output="table", status=status)


def test_warnings_are_shown_and_the_check_succeeds(served, directory):
    """Guards against warnings that are lost, or that stop a check without --strict."""
    file = directory / "fleet.pomeloyard.toml"
    result = check_config(served, directory)
    assert result.stdout == ""
    assert result.stderr.splitlines() == [
        f"warning: {file}: pools.orders: no service or queue uses it "
        "(expected a service or queue with this pool)",
        f"warning: {file}: teams.mill: no queue lists it and no service is its own or "
        "shared (expected a queue or service for the team)",
        "no errors, 2 warnings",
    ]
    file.write_text(WITHOUT_WARNINGS)
    for options in ((), ("--strict",)):
        result = check_config(served, *options, directory)
        assert result.stderr == "no errors\n"


def test_strict_makes_warnings_an_error(served, directory):
    """Guards against a pipeline that publishes in spite of --strict."""
    result = check_config(served, "--strict", directory, status=1)
    assert result.stderr.count("warning: ") == 2
    assert "error: 2 warnings, which --strict does not allow" in result.stderr
    assert "no errors" not in result.stderr


@pytest.mark.parametrize("strict", [False, True])
def test_warnings_and_differences_are_shown_together(served, directory, strict):
    """Guards against --strict that hides the differences, or --diff the warnings."""
    file = directory / "fleet.pomeloyard.toml"
    file.write_text(WITHOUT_WARNINGS)
    run(served, "config", "publish", directory)
    file.write_text(FILES)
    options = ("--diff", *(["--strict"] if strict else []))
    result = check_config(served, *options, directory, status=int(strict))
    assert "warning: " in result.stderr
    assert "removed services.orders\n" in result.stderr
    assert served.state.config.revision == 1


def test_warnings_are_shown_when_the_daemon_does_not_answer(served, directory):
    """Guards against a failed call of --diff that hides what needs no daemon."""
    served.address = f"127.0.0.1:{free_port()}"
    result = check_config(served, "--diff", directory, status=1)
    assert result.stderr.count("warning: ") == 2


def test_errors_are_shown_without_warnings(served, directory):
    """Guards against warnings that only repeat an error."""
    (directory / "b.pomeloyard.toml").write_text('[queues.q]\npools = ["saws"]\n')
    result = check_config(served, "--strict", directory, status=1)
    assert "error: " in result.stderr
    assert "warning: " not in result.stderr


def test_publishing_ignores_warnings(served, directory):
    """Guards against a warning that stops or changes a publication."""
    result = run(served, "config", "publish", directory, output="table")
    assert result.stdout == "1\n"
    assert "warning" not in result.stderr


def test_status_wait_names_the_daemons_that_lag(served):
    register(served)
    wait = ("config", "status", "--wait", "--revision", "9", "--wait-timeout", "0.1")
    result = run(served, *wait, status=1)
    assert "revision 9 is not in force at: entry-1 (at revision 0)" in result.stderr


def test_errors_in_files_are_shown_and_nothing_is_published(served, directory):
    (directory / "b.pomeloyard.toml").write_text("[pools.b]\nexecuters = 1\n[x]\n")
    for command in ("check", "publish"):
        result = run(served, "config", command, directory, status=1)
        assert "pools.b.executers" in result.stderr
        assert 'unknown name "x"' in result.stderr
    assert served.state.config.revision == 0


def test_conflict_shows_what_changed_with_status_1(served, directory):
    run(served, "config", "publish", directory)
    (directory / "fleet.pomeloyard.toml").write_text(FILES.replace("= 2", "= 3"))
    publish = ("config", "publish", "--made-from", "1", directory)
    run(served, *publish)
    (directory / "fleet.pomeloyard.toml").write_text(FILES.replace("= 2", "= 4"))
    result = run(served, *publish, output="table", status=1)
    assert "error: conflict: made from revision 1, but 2 is in force" in result.stderr
    assert "pools.orders" in result.stderr
    assert "nothing was changed" in result.stderr


def test_keys_are_granted_listed_and_withdrawn(served, directory):
    run(served, "config", "publish", directory)
    granted = run(served, "key", "grant", "--team", "mill")
    assert (
        run(served, "key", "list", "--team", "mill")[0]["key_id"] == granted["key_id"]
    )
    assert run(served, "key", "withdraw", granted["key_id"])["stored"]
    result = run(served, "key", "list", output="table")
    assert granted["key_id"] in result.stdout
    run(served, "key", "grant", status=2)
    run(served, "key", "grant", "--role", "root", status=2)
    result = run(served, "key", "list", key="py1.a.b", output="table", status=1)
    assert "error: key-invalid" in result.stderr


def test_store_outage_shows_retry_after(served, directory):
    served.store.down = True
    result = run(served, "config", "history", output="table", status=1)
    assert "error: store-unavailable" in result.stderr
    assert "try again after 5 s" in result.stderr


def test_fleet_and_share_are_shown(served):
    register(served)
    assert run(served, "fleet", "status")["daemons"][0]["daemon"]["vm"] == "entry-1"
    assert "entry-1" in run(served, "fleet", "status", output="table").stdout


def test_share_adds_up_all_daemons_and_names_the_silent_ones(served, directory):
    run(served, "config", "publish", directory)
    served.daemon.admission.running_by_team["mill"] = 3
    silent = f"127.0.0.1:{free_port()}"
    result = run(served, "share", output="table", daemons=[served.address, silent])
    assert f"no answer from {silent}" in result.stderr
    usage = run(served, "share", daemons=[served.address])[0]
    assert (usage["running"], usage["received"], usage["entitled"]) == (6, 1.0, 1.0)


def test_next_daemon_is_tried_when_one_is_gone(served):
    gone = f"127.0.0.1:{free_port()}"
    assert run(served, "team", "list", daemons=[gone]) == []


@pytest.mark.parametrize(("method", "repeated"), [("GET", True), ("POST", False)])
def test_call_without_an_answer_is_repeated_only_if_it_is_safe(
    served, method, repeated
):
    calls = []

    async def cut(scope, receive, send):
        calls.append(scope["path"])
        raise ConnectionResetError

    async def silent(stream):
        async with stream:
            await stream.receive()
            calls.append("received")

    with anyio.from_thread.start_blocking_portal() as portal:
        listener = portal.call(
            partial(anyio.create_tcp_listener, local_host="127.0.0.1")
        )
        portal.start_task_soon(listener.serve, silent)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = OperatorClient([f"127.0.0.1:{port}", served.address], BOOTSTRAP)
        if repeated:
            assert client.call(method, "/v1/teams") == []
        else:
            with pytest.raises(OperatorCallError) as caught:
                client.call(method, "/v1/keys", {"role": "read"})
            assert caught.value.outcome == "unknown"
            assert not served.state.keys.keys_by_id
        client.close()
        portal.call(listener.aclose)
    assert calls == ["received"]


def test_tool_checks_the_certificate_of_the_daemon(served, tmp_path):
    ca, stranger = trustme.CA(), trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    ca.issue_cert("127.0.0.1").configure_cert(context)
    app = operator_app(served.daemon._operator_context())
    with anyio.from_thread.start_blocking_portal() as portal:
        server = portal.call(partial(serving, app, tls=context))
        with portal.wrap_async_context_manager(server) as address:
            for authority, status in ((ca, 0), (stranger, 1)):
                file = tmp_path / "ca.pem"
                authority.cert_pem.write_to_path(file)
                arguments = [
                    "--daemon",
                    address,
                    "--ca-file",
                    str(file),
                    "team",
                    "list",
                ]
                environment = {"POMELOYARD_KEY": BOOTSTRAP, "HOME": str(tmp_path)}
                result = CliRunner().invoke(cli, arguments, env=environment)
                assert result.exit_code == status, result.output
    assert "unreachable" in result.stderr
    assert "CERTIFICATE_VERIFY_FAILED" in result.stderr


def test_missing_options_are_a_usage_error(tmp_path):
    environment = {
        "POMELOYARD_DAEMONS": "",
        "POMELOYARD_KEY": "",
        "HOME": str(tmp_path),
    }
    environment = {**dict.fromkeys(os.environ), **environment}
    result = CliRunner().invoke(cli, ["team", "list"], env=environment)
    assert result.exit_code == 2
    assert "POMELOYARD_DAEMONS" in result.stderr


def test_options_come_from_a_file(served, tmp_path):
    (tmp_path / "key").write_text(BOOTSTRAP + "\n")
    file = tmp_path / "options.toml"
    file.write_text(f'daemon = ["{served.address}"]\nkey_file = "{tmp_path}/key"\n')
    arguments = ["--options-file", str(file), "team", "list"]
    environment = {"POMELOYARD_DAEMONS": None, "POMELOYARD_KEY": None}
    result = CliRunner().invoke(cli, arguments, env=environment)
    assert (result.exit_code, result.stdout) == (0, "[]\n")
    file.write_text("deamon = 1\n")
    assert CliRunner().invoke(cli, arguments, env=environment).exit_code == 2


def commands(command, path=()):
    yield path, command
    if isinstance(command, click.Group):
        for name, inner in command.commands.items():
            yield from commands(inner, (*path, name))


OWN_GROUPS = ("config", "key", "team", "share", "fleet")


@pytest.mark.parametrize(
    "path", [p for p, _ in commands(cli) if not p or p[0] in OWN_GROUPS], ids=" ".join
)
def test_every_help_has_examples(path):
    result = CliRunner().invoke(cli, [*path, "--help"])
    assert result.exit_code == 0
    assert "  Examples:\n    pomeloyard " in result.stdout
