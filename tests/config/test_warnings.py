"""Warnings about configurations: each is given for its cause and for nothing else."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from measurements.support.virtual_time import run_virtual
from pomeloyard.config.checks import config_problems
from pomeloyard.config.model import (
    BudgetConfig,
    FleetConfig,
    MaintenanceConfig,
    PoolConfig,
    QueueConfig,
    ServiceConfig,
    TeamConfig,
)
from pomeloyard.config.reader import parse_file, read_contents, read_source
from pomeloyard.config.warnings import config_warnings
from pomeloyard.jobs.job import pools_of
from pomeloyard.outcomes import RefusalReason, Refused
from pomeloyard.standins.embedded import embedded_config
from tests.test_admission import controller

EXAMPLES = Path(__file__).parents[2] / "examples"

GOOD = """
[fleet]
name = "small"
[regions.luzon]
availability_zones = ["bulacan", "pampanga"]
[pools.orders]
executors = 4
[pools.saws]
workers = 2
[services.orders]
pool = "orders"
hedge_after = "500ms"
budget = { min_available = 2, min_available_per_zone = 1 }
[teams.desk]
share = 1
limit = 40
[teams.mill]
share = 2
limit = 40
job_limit = 20
[queues.nightly]
pools = ["saws"]
teams = ["mill"]
[maintenance]
interval = "4w"
"""

SECOND_SERVICE = """[services.desk]
pool = "orders"
{limit}
budget = {{ min_available = 1 }}
[teams.desk]"""


def warnings_of(content):
    """Return the warnings about a document, which must have no errors."""
    return config_warnings(read_contents({"f": parse_file(content.encode(), "f")}))


# Each row: text replaced in GOOD, replacement, path of the warning, part of its text.
# The replacement causes this warning and no other.
CASES = [
    # Entries that nothing uses.
    ("[teams.desk]", "[pools.x]\n[teams.desk]", "pools.x", "no service or queue"),
    (
        "[teams.desk]",
        "[pools.x]\nexecutors = 2\n[teams.desk]",
        "pools.x",
        "no service or queue",
    ),
    (
        "[teams.desk]",
        "[pools.x]\nworkers = 2\n[teams.desk]",
        "pools.x",
        "no service or queue",
    ),
    ("workers = 2", "workers = 2\nexecutors = 1", "pools.saws.executors", "1 executor"),
    ("executors = 4", "executors = 4\nworkers = 2", "pools.orders.workers", "no job"),
    (
        '"500ms"',
        '"500ms"\nteam = "mill"',
        "teams.desk",
        "no queue lists it and no service is its own or shared",
    ),
    (
        "limit = 40\n[teams.mill]",
        "limit = 40\njob_limit = 40\n[teams.mill]",
        "teams.desk",
        "no queue lists it",
    ),
    ("limit = 40\n[teams.mill]", "limit = 0\n[teams.mill]", "teams.desk.limit", "none"),
    ('["mill"]', '["mill", "mill"]', "queues.nightly.teams", '"mill" is listed 2'),
    ('["saws"]', '["saws", "saws"]', "queues.nightly.pools", '"saws" is listed 2'),
    ('["mill"]', '["mill", "desk"]', "queues.nightly.teams", '"desk" has a job_limit'),
    # Spare pools.
    (
        "executors = 4",
        "executors = 4\nspare = true",
        "pools.orders.spare",
        "no service runs on a pool that could borrow",
    ),
    (
        "[teams.desk]",
        "[pools.a]\nspare = true\n[pools.b]\nspare = true\n"
        '[services.b]\npool = "b"\nbudget = { min_available = 0 }\n[teams.desk]',
        "pools.b.spare",
        'only the first spare pool, "a", lends',
    ),
    # Limits that contradict each other.
    ("job_limit = 20", "", "queues.nightly", "all have a job_limit of 0"),
    ("workers = 2", "", "queues.nightly.pools", "none of its pools has workers"),
    (
        "hedge_after",
        "slots_per_executor = 65\nhedge_after",
        "services.orders.connections_per_executor",
        "64 is below slots_per_executor (expected at least 65)",
    ),
    (
        "hedge_after",
        "queue_length = 0\nhedge_after",
        "services.orders.queue_length",
        "refuses every request",
    ),
    ('"500ms"', '"15s"', "services.orders.hedge_after", "lasts longer than 15s"),
    (
        "hedge_after",
        'request_timeout = "301s"\nhedge_after',
        "services.orders.request_timeout",
        "301s is cut to 5m",
    ),
    (
        "hedge_after",
        'queue_timeout = "1h"\nhedge_after',
        "services.orders.queue_timeout",
        "1h is cut to 5m",
    ),
    (
        "[teams.desk]",
        '[pools.x]\nexecutors = 1\n[services.x]\npool = "x"\n'
        'hedge_after = "1s"\nbudget = { min_available = 0 }\n[teams.desk]',
        "services.x.hedge_after",
        "no second executor",
    ),
    (
        "[teams.desk]",
        SECOND_SERVICE.format(limit="slots_per_executor = 4"),
        "services.orders.slots_per_executor",
        '8 has no effect: the pool\'s executors have the 4 of service "desk"',
    ),
    (
        "[teams.desk]",
        SECOND_SERVICE.format(limit="connections_per_executor = 16"),
        "services.orders.connections_per_executor",
        "64 has no effect",
    ),
    (
        "per_zone = 1",
        "per_zone = 3",
        "services.orders.budget.min_available",
        "2 has no effect: each zone keeps 3",
    ),
    (
        'interval = "4w"',
        'interval = "1d"\ntrial = "13h"',
        "pools.orders",
        "at least 26h: 4 executors, at most 2 at once",
    ),
]


@pytest.mark.parametrize(("old", "new", "path", "text"), CASES)
def test_each_cause_gives_its_warning_only(old, new, path, text):
    """Guards against a warning that is missing, or given for something else."""
    assert old in GOOD
    warnings = warnings_of(GOOD.replace(old, new, 1))
    assert [w.path for w in warnings] == [path], warnings
    assert text in str(warnings[0])
    assert warnings[0].expected


# Each row: text replaced in GOOD and its replacement, which looks like a fault but has
# an effect.
WITHOUT_WARNING = [
    ("", ""),
    # Jobs of a team that no restricted queue lists run on all pools.
    ('teams = ["mill"]', "open = true"),
    (
        "executors = 4",
        "executors = 4\nworkers = 2\n[pools.more]\nworkers = 1",
        "limit = 40\n[teams.mill]",
        "limit = 40\njob_limit = 1\n[teams.mill]",
    ),
    # Without a queue, jobs use all pools.
    ('[queues.nightly]\npools = ["saws"]\nteams = ["mill"]\n', ""),
    # A spare pool needs no service, and lends to a pool without executors.
    ("[pools.saws]", "[pools.spare]\nspare = true\n[pools.saws]"),
    (
        "[pools.saws]",
        "[pools.spare]\nspare = true\nexecutors = 9\n[pools.late]\n"
        '[services.late]\npool = "late"\nbudget = { min_available = 0.5 }\n'
        "[pools.saws]",
    ),
    # A team may be the owner of a service and run no job.
    ('"500ms"', '"500ms"\nteam = "desk"'),
    # Limits that are just not contradictory.
    ('"500ms"', '"14999ms"'),
    ("hedge_after", "slots_per_executor = 64\nhedge_after"),
    ("hedge_after", 'request_timeout = "5m"\nhedge_after'),
    ("hedge_after", "queue_length = 1\nhedge_after"),
    ("min_available = 2", "min_available = 1"),
    ("min_available = 2", "min_available = 0"),
    ("min_available = 2, min_available_per_zone = 1", "min_available = 0.5"),
    ('interval = "4w"', 'interval = "1d"\ntrial = "12h"'),
    ("[teams.desk]", SECOND_SERVICE.format(limit="slots_per_executor = 8")),
]


@pytest.mark.parametrize("replacements", WITHOUT_WARNING)
def test_sensible_configuration_has_no_warning(replacements):
    """Guards against --strict rejecting an entry that has an effect."""
    content = GOOD
    for old, new in zip(replacements[::2], replacements[1::2], strict=True):
        assert old in content
        content = content.replace(old, new, 1)
    assert warnings_of(content) == []


@pytest.mark.parametrize("name", ["hsinchu", "lilim"])
def test_examples_have_no_warning(name):
    """Guards against examples that the tool itself criticizes."""
    source = read_source([EXAMPLES / name])
    assert config_warnings(source.config, source.file_of) == []


def test_embedded_fleet_has_no_warning():
    """Guards against a first fleet that shows warnings."""
    assert config_warnings(embedded_config()) == []


def test_fleet_without_teams_or_executors():
    """Guards against silence about services and queues that no key can use."""
    config = FleetConfig(
        "small",
        pools_by_name={"a": PoolConfig("a", workers=1), "b": PoolConfig("b")},
        services_by_name={"a": ServiceConfig("a", "b", BudgetConfig(0))},
        queues_by_name={"q": QueueConfig("q", ("a",), open=True)},
    )
    assert config_problems(config) == []
    assert [(w.path, w.problem) for w in config_warnings(config)] == [
        ("services.a", "no team can call it"),
        ("services.a.pool", 'pool "b" has no executors'),
        ("queues.q", "no team can use it: none is defined"),
    ]


def test_job_limit_without_workers():
    """Guards against jobs that are accepted and never find a worker."""
    config = FleetConfig(
        "small",
        pools_by_name={"a": PoolConfig("a", executors=2)},
        services_by_name={"a": ServiceConfig("a", "a", BudgetConfig(1))},
        teams_by_name={"mill": TeamConfig("mill", 1.0, limit=9, job_limit=4)},
    )
    assert [str(w) for w in config_warnings(config)] == [
        "teams.mill.job_limit: 4 is above what the pools hold: none has workers "
        "(expected a pool with workers, or 0)"
    ]


def test_warning_names_the_file_that_defines_the_entry(tmp_path):
    """Guards against warnings that name no file or that of another entry."""
    head, _, tail = GOOD.partition("[teams.mill]")
    (tmp_path / "a.pomeloyard.toml").write_text(head + "[pools.x]\n")
    (tmp_path / "b.pomeloyard.toml").write_text(
        "[teams.mill]" + tail.replace("job_limit = 20", "")
    )
    source = read_source([tmp_path])
    warnings = config_warnings(source.config, source.file_of)
    assert [(Path(w.file).name, w.path) for w in warnings] == [
        ("a.pomeloyard.toml", "pools.x"),
        ("b.pomeloyard.toml", "queues.nightly"),
    ]


# What the warnings claim of other modules.


def test_queue_length_0_refuses_a_request_that_finds_a_free_slot():
    """Guards against a warning about queue_length that is no longer true."""

    async def check():
        outcome = await controller().acquire(
            "cut", "large", deadline=timedelta(seconds=9), queue_length=0
        )
        assert isinstance(outcome, Refused)
        assert outcome.reason is RefusalReason.QUEUE_FULL

    run_virtual(check)


def test_jobs_without_a_queue_use_all_pools_unless_a_restricted_queue_lists_the_team():
    """Guards against a warning about unused pools that is no longer true."""
    config = read_contents({"f": parse_file(GOOD.encode(), "f")})
    assert pools_of(config, "desk", "") == ("orders", "saws")
    assert pools_of(config, "mill", "") == ("saws",)


NAMES = st.sampled_from("abc")
FEW = st.integers(0, 3)
DURATIONS = st.sampled_from([timedelta(seconds=s) for s in (60, 3600, 86_400)])


def entries(kind, *args, **fields):
    built = st.builds(kind, st.just(""), *args, **fields)
    named = st.dictionaries(NAMES, built, max_size=3)
    return named.map(lambda d: {n: replace(e, name=n) for n, e in d.items()})


CONFIGS = st.builds(
    FleetConfig,
    st.just("small"),
    pools_by_name=entries(PoolConfig, FEW, FEW, st.booleans()),
    services_by_name=entries(
        ServiceConfig,
        NAMES,
        st.builds(BudgetConfig, st.sampled_from([0, 1, 2, 0.5]), FEW),
        queue_length=FEW,
        hedge_after=st.none() | DURATIONS,
        team=st.none() | NAMES,
    ),
    teams_by_name=entries(TeamConfig, st.just(1.0), FEW, FEW),
    queues_by_name=entries(
        QueueConfig,
        st.lists(NAMES, max_size=3).map(tuple),
        st.booleans(),
        st.lists(NAMES, max_size=3).map(tuple),
    ),
    maintenance=st.builds(MaintenanceConfig, DURATIONS, trial=DURATIONS),
)


def without_errors(config):
    """Return a configuration without the entries that have errors."""
    while problems := config_problems(config):
        for problem in problems:
            table, name = problem.path.split(".")[:2]
            kept = {**getattr(config, f"{table}_by_name")}
            kept.pop(name, None)
            config = replace(config, **{f"{table}_by_name": kept})
    return config


@settings(max_examples=300, deadline=None, derandomize=True)
@given(CONFIGS)
def test_any_configuration_without_errors_has_complete_warnings(config):
    """Guards against an exception, a repeated warning or one without its parts."""
    warnings = config_warnings(without_errors(config), lambda path: f"file of {path}")
    assert len(set(warnings)) == len(warnings)
    for warning in warnings:
        assert warning.problem
        assert warning.expected
        assert warning.path.startswith(warning.file.removeprefix("file of "))
