"""Publishing and keys through the operator application, under store faults."""

from __future__ import annotations

import dataclasses
from datetime import timedelta

import anyio
import logbook
import msgspec
import pytest

from pomeloyard import authentication
from pomeloyard.clock import ManualClock
from pomeloyard.config.model import FleetConfig, PoolConfig, TeamConfig
from pomeloyard.config.publication import KEPT_REVISIONS
from pomeloyard.daemon import Daemon
from pomeloyard.errors import RefusedError
from pomeloyard.fleet_state import DaemonRecord
from pomeloyard.follower import adopt_config, adopt_keys
from pomeloyard.keys import KeyRing, find_key, hash_key, new_key
from pomeloyard.keyvalue import layout
from pomeloyard.operators.app import operator_app
from pomeloyard.peers.messages import Heartbeat, KeyWithdrawn
from pomeloyard.settings import DaemonSettings
from pomeloyard.standins.platform import MemoryVmDirectory
from tests.operators.store_faults import FaultyStore
from tests.support.asgi import call_app

BOOTSTRAP = new_key()[0]


def fleet_config(**more):
    pools = {"orders": PoolConfig("orders", executors=2)}
    teams = {"mill": TeamConfig("mill", 1.0, 10)}
    values = {"name": "small", "pools_by_name": pools, "teams_by_name": teams}
    return FleetConfig(**{**values, **more})


class Operator:
    """Operator application of one daemon; the store may be shared with others."""

    def __init__(self, store=None, vm="entry-1"):
        self.clock = ManualClock()
        self.store = store or FaultyStore(self.clock)
        settings = DaemonSettings(
            vm=vm,
            availability_zone="bulacan",
            caller_address="127.0.0.1:1",
            operator_address="127.0.0.1:2",
            peer_address="127.0.0.1:3",
            metrics_address="127.0.0.1:4",
            store_url="http://127.0.0.1:5",
            directory_url="http://127.0.0.1:5",
        )
        directory = MemoryVmDirectory(self.clock)
        self.daemon = Daemon(settings, self.store, directory, self.clock)
        self.state = self.daemon.state
        self.state.bootstrap_sha256 = hash_key(BOOTSTRAP)
        self.sent = []
        self.daemon.keys._broadcast = lambda message: self.sent.append(message) or 1
        self.app = operator_app(self.daemon._operator_context())

    def call(self, method, target, body=None, key=BOOTSTRAP):
        return anyio.run(call_app, self.app, method, target, key, body)

    def publish(self, config, made_from):
        body = msgspec.json.encode(config)
        return self.call("POST", f"/v1/config?made_from={made_from}", body)

    def grant(self, **body):
        answer = self.call("POST", "/v1/keys", body)
        assert answer.status == 201, answer.json
        return answer.json

    def stored(self, key, kind):
        entry = self.store._entries_by_key.get(key)
        return msgspec.convert(msgspec.json.decode(entry.value)["data"], kind)


@pytest.fixture
def operator():
    operator = Operator()
    assert operator.publish(fleet_config(), 0).json["revision"] == 1
    return operator


def test_lost_race_names_what_the_winner_changed(operator):
    pools = {"orders": PoolConfig("orders", executors=3)}
    assert operator.publish(fleet_config(pools_by_name=pools), 1).status == 200
    answer = operator.publish(fleet_config(name="other"), 1)
    assert answer.status == 409
    assert answer.json["type"] == "urn:pomeloyard:conflict"
    assert answer.json["changes"] == [
        {
            "path": "pools.orders",
            "kind": "changed",
            "fields": [{"field": "executors", "old": "2", "new": "3"}],
        }
    ]
    assert operator.state.config.revision == 2


def test_race_within_the_transaction_has_one_winner(operator):
    rival = Operator(operator.store, "entry-2")

    async def rival_publishes():
        body = msgspec.json.encode(fleet_config(name="rival"))
        target = "/v1/config?made_from=1"
        assert (
            await call_app(rival.app, "POST", target, BOOTSTRAP, body)
        ).status == 200

    operator.store.before_commit = rival_publishes
    answer = operator.publish(fleet_config(name="loser"), 1)
    assert (answer.status, answer.json["in_force"]) == (409, 2)
    assert operator.stored(layout.CONFIG_HEAD, int) == 2


# Each row: fault, status, outcome, revision afterwards in the store.
STORE_FAULTS = [
    ({"lost_answers": 1}, 200, None, 2),
    ({"lost_answers": 2}, 200, None, 2),
    ({"lost_answers": 1, "down_after_lost": True}, 502, "unknown", 2),
    ({"down": True}, 503, "not-run", 1),
]


@pytest.mark.parametrize(("fault", "status", "outcome", "head"), STORE_FAULTS)
def test_outcome_of_a_publication_is_true_under_store_faults(
    operator, fault, status, outcome, head
):
    vars(operator.store).update(fault)
    answer = operator.publish(fleet_config(name="next"), 1)
    assert (answer.status, answer.json.get("outcome")) == (status, outcome)
    assert (status == 503) == ("retry-after" in answer.headers)
    assert operator.stored(layout.CONFIG_HEAD, int) == head


def test_daemon_checks_published_content_again(operator):
    bad = fleet_config(pools_by_name={"orders": PoolConfig("orders", executors=-1)})
    answer = operator.publish(bad, 1)
    assert answer.status == 400
    assert answer.json["problems"][0]["path"] == "pools.orders.executors"
    for body in (b"", b"[1]", b"\xff", b'{"name":1}', b"[" * 100_000):
        answer = operator.call("POST", "/v1/config?made_from=1", body)
        assert (answer.status, answer.json["outcome"]) == (400, "not-run")
    assert operator.publish(fleet_config(), "x").status == 400
    assert operator.stored(layout.CONFIG_HEAD, int) == 1


def test_content_over_the_store_limit_is_refused(operator):
    teams = {f"t{n}": TeamConfig(f"t{n}", 1.0, 10) for n in range(15_000)}
    answer = operator.publish(fleet_config(teams_by_name=teams), 1)
    assert answer.status == 413


def test_history_keeps_twenty_revisions_and_rollback_makes_a_new_one(operator):
    for revision in range(1, KEPT_REVISIONS + 3):
        assert (
            operator.publish(fleet_config(name=f"n{revision}"), revision).status == 200
        )
    last = KEPT_REVISIONS + 3
    answer = operator.call("POST", f"/v1/config/rollback?revision=5&made_from={last}")
    assert answer.json["revision"] == last + 1
    assert operator.state.config.name == "n4"
    infos = operator.call("GET", "/v1/config/history").json
    assert [i["revision"] for i in infos] == list(
        range(last + 1, last + 1 - KEPT_REVISIONS, -1)
    )
    assert infos[0]["note"] == "rollback to 5"
    kept = [
        k for k in operator.store._sorted_keys if k.startswith(layout.CONFIG_REVISIONS)
    ]
    assert len(kept) == KEPT_REVISIONS
    answer = operator.call(
        "POST", f"/v1/config/rollback?revision=1&made_from={last + 1}"
    )
    assert answer.status == 404


def test_older_configuration_is_never_adopted(operator):
    newer = dataclasses.replace(fleet_config(), revision=9)
    assert adopt_config(operator.state, newer)
    assert not adopt_config(operator.state, dataclasses.replace(newer, revision=8))
    assert operator.state.config.revision == 9


def test_status_names_the_daemons_that_lag(operator):
    for name, revision in (("a.1", 1), ("b.2", 0), ("c.3", None)):
        record = DaemonRecord(name, name, "", "", "", "bulacan")
        operator.state.daemons_by_incarnation[name] = record
        if revision is not None:
            heartbeat = Heartbeat(revision, 0, 0, True)
            operator.daemon.heartbeats.record(name, heartbeat)
    daemons = operator.call("GET", "/v1/config").json["daemons"]
    assert [(d["vm"], d["config_revision"], d["in_force"]) for d in daemons] == [
        ("a.1", 1, True),
        ("b.2", 0, False),
        ("c.3", None, False),
    ]


def test_grant_needs_an_existing_team_and_listing_shows_no_secret(operator):
    assert operator.call("POST", "/v1/keys", {"team": "saw"}).status == 404
    for body in ({}, {"team": "mill", "role": "read"}, {"role": "root"}, [1]):
        assert operator.call("POST", "/v1/keys", body).status == 400
    key = operator.grant(team="mill")["key"]
    listing = operator.call("GET", "/v1/keys").body.decode()
    assert key.split(".")[2] not in listing
    assert hash_key(key) not in listing


def test_roles_bound_what_an_operator_may_do(operator):
    publisher = operator.grant(role="publish")["key"]
    keys = {
        role: operator.call("POST", "/v1/keys", {"role": role}, publisher).json
        for role in ("read", "operate")
    }
    team = operator.call("POST", "/v1/keys", {"team": "mill"}, publisher).json
    read, operate = keys["read"]["key"], keys["operate"]["key"]
    assert operator.call("GET", "/v1/keys", key=read).status == 200
    withdraw_team = f"/v1/keys/{team['key_id']}"
    withdraw_reader = f"/v1/keys/{keys['read']['key_id']}"
    assert operator.call("DELETE", withdraw_team, key=read).status == 403
    assert operator.call("DELETE", withdraw_reader, key=operate).status == 403
    assert operator.call("DELETE", withdraw_team, key=operate).status == 200
    assert operator.call("GET", "/v1/keys", key=team["key"]).status == 401
    # The bootstrap key is no longer valid.
    assert operator.call("GET", "/v1/keys").status == 401
    assert operator.state.failed_authentications["key-invalid"] == 2


def test_racing_operators_both_change_the_ring(operator):
    first = operator.grant(team="mill")["key_id"]
    rival = Operator(operator.store, "entry-2")
    adopt_config(rival.state, operator.state.config)

    async def rival_withdraws():
        answer = await call_app(rival.app, "DELETE", f"/v1/keys/{first}", BOOTSTRAP)
        assert answer.json["stored"]

    operator.store.before_commit = rival_withdraws
    operator.clock.sleep = lambda delay: anyio.sleep(0)
    second = operator.grant(team="mill")["key_id"]
    ring = operator.stored(layout.KEYS, KeyRing)
    assert ring.keys_by_id[first].withdrawn
    assert not ring.keys_by_id[second].withdrawn


@pytest.mark.parametrize("fault", [{"down": True}, {"lost_answers": 3}])
def test_withdrawal_holds_at_once_and_is_stored_when_the_store_is_back(operator, fault):
    granted = operator.grant(team="mill")
    older = operator.state.keys
    vars(operator.store).update(fault)
    answer = operator.call("DELETE", f"/v1/keys/{granted['key_id']}")
    assert (answer.status, answer.json["stored"]) == (202, False)
    assert operator.sent == [KeyWithdrawn(granted["key_id"])]

    def valid():
        ids = operator.state.withdrawn_key_ids
        return find_key(operator.state.keys, granted["key"], ids) is not None

    assert not valid()
    operator.state.keys = KeyRing()
    assert adopt_keys(operator.state, older)  # A peer may send an older key ring.
    assert not valid()

    operator.store.down = False
    anyio.run(operator.daemon.keys.store_withdrawals)
    assert operator.stored(layout.KEYS, KeyRing).keys_by_id[granted["key_id"]].withdrawn
    assert not operator.daemon.keys.pending()


def test_tombstone_received_by_a_peer_is_stored_by_its_retry_task(operator):
    key_id = operator.grant(team="mill")["key_id"]
    operator.state.withdrawn_key_ids.add(key_id)
    operator.store.down = True

    async def outage_then_recovery():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operator.daemon.keys.run)
            for _ in range(4):
                await anyio.wait_all_tasks_blocked()
                operator.clock.advance(timedelta(seconds=20))
            await anyio.wait_all_tasks_blocked()
            assert operator.daemon.keys.pending() == {key_id}
            operator.store.down = False
            operator.clock.advance(timedelta(seconds=20))
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(outage_then_recovery)
    assert operator.stored(layout.KEYS, KeyRing).keys_by_id[key_id].withdrawn


def test_unknown_key_is_not_found_while_the_store_can_tell(operator):
    assert operator.call("DELETE", "/v1/keys/000000000000").status == 404
    operator.store.down = True
    answer = operator.call("DELETE", "/v1/keys/000000000000")
    assert (answer.status, answer.json["known"]) == (202, False)


def test_full_ring_refuses_grants_and_drops_old_withdrawn_keys(monkeypatch):
    monkeypatch.setattr("pomeloyard.keys.MAX_WITHDRAWN", 2)
    monkeypatch.setattr("pomeloyard.key_service.MAX_KEYS", 1)
    ring = KeyRing()
    for number in range(4):
        record = dataclasses.replace(new_key(team="mill")[1], key_id=str(number))
        ring = ring.with_key(record).with_keys_withdrawn(
            [record.key_id], f"2026-0{number + 1}"
        )
    assert sorted(ring.keys_by_id) == ["2", "3"]
    operator = Operator()
    operator.publish(fleet_config(), 0)
    operator.grant(team="mill")
    with pytest.raises(RefusedError, match="limit-reached"):
        anyio.run(operator.daemon.keys.grant, "mill", None, "x")


def test_authentication_hashes_once_and_never_logs_the_key(operator, monkeypatch):
    hashed = []
    real = authentication.hash_key
    monkeypatch.setattr(
        authentication, "hash_key", lambda t: hashed.append(t) or real(t)
    )
    granted = operator.grant(team="mill")
    key_id, secret = granted["key_id"], granted["key"].split(".")[2]
    with logbook.TestHandler() as handler:
        for wrong in (
            f"py1.{key_id}.guess",
            f"py1.guess.{secret}",
            "x" * 500,
            "one two",
        ):
            hashed.clear()
            assert operator.call("GET", "/v1/teams", key=wrong).status == 401
            assert len(hashed) <= 1
    lines = [record.message for record in handler.records]
    assert lines[0] == f"authentication failed: key-invalid key_id={key_id}"
    assert not [line for line in lines if "guess" in line or secret in line]
    assert operator.state.failed_authentications["key-invalid"] == 4


def test_a_body_that_is_nested_deeply_is_refused():
    nested = b'{"vm": "a", "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    answer = Operator().call("POST", "/v1/pools/orders/moves", nested)
    assert answer.status == 400
