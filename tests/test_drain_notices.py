"""Drain notices and running queries between daemons, without sockets."""

from __future__ import annotations

from pomeloyard.fleet.drain_notices import DrainNotices
from pomeloyard.fleet.vms import VmRecord, VmState
from pomeloyard.fleet_state import FleetState
from pomeloyard.peers.calls import PeerCalls
from pomeloyard.peers.messages import DrainNotice, RunningQuery, RunningReply
from pomeloyard.vm_platform.directory import Vm, VmList, VmRole

from .support.fleet import run
from .support.network import Network

VM = Vm("cut-1", VmRole.EXECUTOR, "mill", "luzon", "bulacan", "r1", "")


def daemon(name, networks, running=0):
    network = Network(name, networks)
    state = FleetState(vm_list=VmList({VM.name: VM}, 1))
    state.vm_records_by_name[VM.name] = VmRecord(VM.name, VM.role, "mill", epoch=4)
    notices = DrainNotices(network, PeerCalls(network), state, lambda vm: running)
    notices.start()
    return notices, state


DRAINING = VmRecord(VM.name, VM.role, "mill", VmState.DRAINING, epoch=5)


def test_notice_stops_new_work_before_the_watch_event():
    """Guards against work sent to a draining VM while the store watch is slow."""
    networks = {}
    sender, _ = daemon("a", networks)
    _, state = daemon("b", networks)
    assert state.accepts_work(VM)
    sender.broadcast_state(DRAINING)
    assert not state.accepts_work(VM)
    # The record of the return is newer than the notice.
    state.vm_records_by_name[VM.name] = VmRecord(VM.name, VM.role, "mill", epoch=6)
    assert state.accepts_work(VM)
    # A delayed notice has no effect.
    sender.broadcast_state(DRAINING)
    assert state.accepts_work(VM)


def test_query_stops_new_work_at_the_daemon_that_answers():
    """Guards against a daemon that answers 0 and then sends a request to the VM."""

    async def body():
        networks = {}
        querying, _ = daemon("a", networks, running=3)
        _, state = daemon("b", networks, running=2)
        assert await querying.query_running("b", DRAINING) == 2
        assert not state.accepts_work(VM)
        assert await querying.query_running("a", DRAINING) == 3
        assert await querying.query_running("unreachable", DRAINING) is None

    run(body)


def test_query_of_an_older_daemon_without_epoch_is_answered():
    """Guards against drains that block during a rolling upgrade."""
    networks = {}
    daemon("b", networks, running=1)
    answers = []
    network = Network("a", networks)
    network.on(RunningReply, lambda sender, message: answers.append(message.running))
    network.send("b", RunningQuery(1, VM.name))
    network.send("b", DrainNotice(VM.name, "in_service", 9))
    assert answers == [1]
