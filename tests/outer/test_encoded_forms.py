"""Encoded forms of messages, stored records and settings stay as they are.

``encoded_forms.json`` holds what the build at 4268d0e encodes. A daemon has to read
what an older one has stored or sends, and the other way round, so a field renamed
without a mapping to its encoded name fails here. Keys are the names at that build.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from pomeloyard import explanations, fleet_state, heartbeats, key_service, keys, usage
from pomeloyard.allocation import partitions
from pomeloyard.batch import model as batch_model
from pomeloyard.batch import progress_records
from pomeloyard.batch import wave_runner as batch_wave_runner
from pomeloyard.callers import job_routes
from pomeloyard.config import diff, problems, publication
from pomeloyard.config import model as config_model
from pomeloyard.config.model import FleetConfig
from pomeloyard.fleet import budgets, drains, waves
from pomeloyard.fleet import vms as fleet_vms
from pomeloyard.fleet import wave_runner as fleet_wave_runner
from pomeloyard.jobs import job
from pomeloyard.operators import key_routes, pool_routes, wave_routes
from pomeloyard.peers.codec import LENGTH_PREFIX, decode_payload, encode_frame
from pomeloyard.peers.messages import MESSAGE_TYPES
from pomeloyard.platform import (
    advice,
    caller_app,
    documents,
    executors,
    settings,
    store_client,
    store_relay,
)
from pomeloyard.platform import vms as platform_vms
from pomeloyard.settings import DaemonSettings
from pomeloyard.vm_platform import directory
from pomeloyard.workers import tasks

from .samples import fields_of, sample

TYPES_BY_NAME = {
    "allocation.partitions.Partition": partitions.Partition,
    "allocation.partitions.PartitionTable": partitions.PartitionTable,
    "batch.model.JobRecord": batch_model.JobRecord,
    "batch.model.JobSpec": batch_model.JobSpec,
    "batch.model.Resources": batch_model.Resources,
    "batch.model.StepSpec": batch_model.StepSpec,
    "batch.records.CrashRecord": progress_records.CrashRecord,
    "batch.records.CrashRow": progress_records.CrashRow,
    "batch.records.RunHeader": progress_records.RunHeader,
    "batch.records.RunRecord": progress_records.RunRecord,
    "batch.records.StepRows": progress_records.StepRows,
    "batch.records.TaskRow": progress_records.TaskRow,
    "batch.wave_runner.WaveRecord": batch_wave_runner.WaveRecord,
    "callers.job_routes.CancelRequest": job_routes.CancelRequest,
    "config.diff.FieldChange": diff.FieldChange,
    "config.diff.ItemChange": diff.ItemChange,
    "config.model.BudgetConfig": config_model.BudgetConfig,
    "config.model.FleetConfig": config_model.FleetConfig,
    "config.model.MaintenanceConfig": config_model.MaintenanceConfig,
    "config.model.PoolConfig": config_model.PoolConfig,
    "config.model.QueueConfig": config_model.QueueConfig,
    "config.model.RegionConfig": config_model.RegionConfig,
    "config.model.ServiceConfig": config_model.ServiceConfig,
    "config.model.TeamConfig": config_model.TeamConfig,
    "config.problems.ConfigProblem": problems.ConfigProblem,
    "config.publication.RevisionInfo": publication.RevisionInfo,
    "explanations.CandidateView": explanations.CandidateView,
    "explanations.DecisionView": explanations.DecisionView,
    "explanations.Explanation": explanations.Explanation,
    "fleet.budgets.BudgetRecord": budgets.BudgetRecord,
    "fleet.budgets.Member": budgets.Member,
    "fleet.budgets.Spending": budgets.Spending,
    "fleet.drains._JobHead": drains._JobHead,
    "fleet.drains._JobRecord": drains._JobRecord,
    "fleet.vms.Reason": fleet_vms.Reason,
    "fleet.vms.VmRecord": fleet_vms.VmRecord,
    "fleet.wave_runner.WaveStatus": fleet_wave_runner.WaveStatus,
    "fleet.waves.WaveReason": waves.WaveReason,
    "fleet.waves.WaveRecord": waves.WaveRecord,
    "fleet_state.DaemonRecord": fleet_state.DaemonRecord,
    "fleet_state.RoleRecord": fleet_state.RoleRecord,
    "heartbeats.DaemonStatus": heartbeats.DaemonStatus,
    "jobs.job.Job": job.Job,
    "jobs.job.JobDecision": job.JobDecision,
    "jobs.job.JobRequest": job.JobRequest,
    "key_service.Withdrawal": key_service.Withdrawal,
    "keys.KeyRecord": keys.KeyRecord,
    "keys.KeyRing": keys.KeyRing,
    "operators.key_routes.GrantRequest": key_routes.GrantRequest,
    "operators.key_routes.KeyView": key_routes.KeyView,
    "operators.pool_routes.MoveBody": pool_routes.MoveBody,
    "operators.wave_routes.WaveBody": wave_routes.WaveBody,
    "platform.advice._Answer": advice._AdviceResponse,
    "platform.documents._Advice": documents._Advice,
    "platform.documents._Configuration": documents._Configuration,
    "platform.documents._Limits": documents._Limits,
    "platform.documents._Registration": documents._Registration,
    "platform.documents._Resources": documents._Resources,
    "platform.documents._Route": documents._Route,
    "platform.documents._Service": documents._Service,
    "platform.documents._Tenant": documents._Tenant,
    "platform.documents._Wave": documents._Wave,
    "platform.executors._Clock": executors._StartResponse,
    "platform.executors._Lists": executors._HoldResponse,
    "platform.front._Job": caller_app._Job,
    "platform.front._Step": caller_app._Step,
    "platform.kv._CommitAnswer": store_client._CommitResponse,
    "platform.kv._Item": store_client._Item,
    "platform.kv._ItemAnswer": store_client._ItemResponse,
    "platform.kv._LeaseAnswer": store_client._LeaseResponse,
    "platform.kv._RangeAnswer": store_client._RangeResponse,
    "platform.kv._WatchAnswer": store_client._WatchResponse,
    "platform.settings._Bounds": settings._Bounds,
    "platform.settings._CloudPlace": settings._CloudApiSection,
    "platform.settings._File": settings._SettingsFile,
    "platform.settings._Limits": settings._Limits,
    "platform.settings._Listen": settings._ListenAddresses,
    "platform.settings._StorePlace": settings._StoreSection,
    "platform.store_relay._Relay": store_relay._RelayEntry,
    "platform.vms._Machine": platform_vms._Machine,
    "platform.vms._Page": platform_vms._MachinePage,
    "platform.vms._Reason": platform_vms._ConflictResponse,
    "fleet_state.EvacuatedZones": fleet_state.EvacuatedZones,
    "fleet_state.Evacuation": fleet_state.Evacuation,
    "usage.TeamUsage": usage.TeamUsage,
    "vm_platform.directory.Vm": directory.Vm,
    "vm_platform.directory.VmList": directory.VmList,
    "workers.tasks.TaskReport": tasks.TaskReport,
    "workers.tasks.TaskStart": tasks.TaskStart,
}
FORMS = json.loads((Path(__file__).parent / "encoded_forms.json").read_text())


def encoded(kind):
    """Return a sample of a type as JSON and as msgpack in hexadecimal digits."""
    value = sample(kind)
    return {
        "json": msgspec.json.encode(value).decode(),
        "msgpack": msgspec.msgpack.encode(value).hex(),
    }


def frames():
    """Return the frame of each peer message, in the order of their type numbers."""
    return [encode_frame(sample(kind), 3).hex() for kind in MESSAGE_TYPES]


def test_each_form_has_its_type():
    assert sorted(FORMS["records"]) == sorted(TYPES_BY_NAME)


@pytest.mark.parametrize("name", sorted(TYPES_BY_NAME))
def test_record_is_encoded_as_before(name):
    kind = TYPES_BY_NAME[name]
    assert encoded(kind) == FORMS["records"][name]


@pytest.mark.parametrize("name", sorted(TYPES_BY_NAME))
def test_record_of_an_older_build_is_read(name):
    kind, form = TYPES_BY_NAME[name], FORMS["records"][name]
    assert msgspec.json.decode(form["json"], type=kind) == sample(kind)
    content = bytes.fromhex(form["msgpack"])
    assert msgspec.msgpack.decode(content, type=kind) == sample(kind)


@pytest.mark.parametrize("name", sorted(FORMS["before_added_fields"]))
def test_a_form_without_fields_that_were_added_later_is_read(name):
    kind, form = TYPES_BY_NAME[name], FORMS["before_added_fields"][name]
    assert msgspec.json.decode(form["json"], type=kind)
    assert msgspec.msgpack.decode(bytes.fromhex(form["msgpack"]), type=kind)


def test_peer_frames_are_encoded_as_before():
    assert frames() == FORMS["frames"]


def test_peer_frames_of_an_older_build_are_read():
    for number, frame in enumerate(FORMS["frames"]):
        payload = bytes.fromhex(frame)[LENGTH_PREFIX.size :]
        assert decode_payload(payload) == (3, sample(MESSAGE_TYPES[number]))


@pytest.mark.parametrize("kind", [DaemonSettings, FleetConfig])
def test_keys_of_settings_stay(kind):
    assert fields_of(kind) == FORMS["keys"][kind.__name__]
