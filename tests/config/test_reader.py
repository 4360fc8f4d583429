"""Configuration files with errors: all are reported, with ConfigProblemsError only."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.config.problems import ConfigProblemsError
from pomeloyard.config.reader import parse_file, read_contents, read_directories

GOOD = """
[fleet]
name = "small"
[regions.luzon]
availability_zones = ["bulacan", "pampanga"]
[pools.orders]
executors = 2
[services.orders]
pool = "orders"
request_timeout = "1500ms"
budget = { min_available = 1 }
[teams.mill]
share = 2
limit = 40
[queues.nightly]
pools = ["orders"]
open = true
[maintenance]
interval = "4w"
"""


def problems_of(tmp_path, *contents):
    for number, content in enumerate(contents):
        (tmp_path / f"{number}.pomeloyard.toml").write_text(content)
    with pytest.raises(ConfigProblemsError) as caught:
        read_directories([tmp_path])
    return caught.value.problems


def test_durations_and_defaults_are_read(tmp_path):
    (tmp_path / "a.pomeloyard.toml").write_text(GOOD)
    config = read_directories([tmp_path])
    assert config.services_by_name["orders"].request_timeout == timedelta(seconds=1.5)
    assert config.maintenance.interval == timedelta(weeks=4)
    assert config.teams_by_name["mill"].share == 2.0


# Each row: text replaced in GOOD, replacement, path of the error, part of its text.
FAULTS = [
    ("executors = 2", "executers = 2", "pools.orders.executers", '"executors"?'),
    ("[pools.orders]", "[pool.orders]", "pool", '"pools"?'),
    ("limit = 40", 'limit = "40"', "teams.mill.limit", "a whole number"),
    ("limit = 40", "limit = true", "teams.mill.limit", "a whole number"),
    ("limit = 40", "limit = -1", "teams.mill.limit", "out of range"),
    ("share = 2", "share = nan", "teams.mill.share", "out of range"),
    ("share = 2", "share = 2\njob_limit = 41", "teams.mill.job_limit", "at most 40"),
    ('"1500ms"', '"soon"', "services.orders.request_timeout", '"10s"'),
    ('"1500ms"', "7200", "services.orders.request_timeout", "100ms to 1h"),
    ('pool = "orders"', 'pool = "order"', "services.orders.pool", 'no pool "order"'),
    ("budget = {", "badget = {", "services.orders.budget", "is missing"),
    (
        "available = 1",
        "available = 2",
        "services.orders.budget.min_available",
        "leaves no vm for maintenance",
    ),
    (
        "available = 1",
        "available = 3",
        "services.orders.budget.min_available",
        "more than pool (2 executors)",
    ),
    (
        "available = 1",
        "available = 1.5",
        "services.orders.budget.min_available",
        "to 1",
    ),
    ("open = true", 'teams = ["sawyers"]', "queues.nightly.teams", 'team "sawyers"'),
    ("open = true", "", "queues.nightly", "open to all teams or"),
    ('["orders"]', '["saws"]', "queues.nightly.pools", 'no pool "saws"'),
    ("teams.mill", "teams.Mill", "teams.Mill", "lower-case"),
    ('"pampanga"', '"bulacan"', "regions.luzon.availability_zones", "occurs twice"),
    ('name = "small"', "", "fleet.name", "invalid name"),
    ("limit = 40", "limit = = 40", "", "valid TOML"),
]


@pytest.mark.parametrize(("old", "new", "path", "text"), FAULTS)
def test_each_fault_is_reported_with_its_path(tmp_path, old, new, path, text):
    problems = problems_of(tmp_path, GOOD.replace(old, new, 1))
    assert any(p.path == path and text in str(p) for p in problems), problems


def test_errors_of_all_files_are_reported_at_once(tmp_path):
    problems = problems_of(
        tmp_path,
        GOOD.replace("limit = 40", "limit = 2000000"),
        "[teams.mill]\nshare = 1.0\nlimit = 1\n",
        "[teams.desk]\nshare = 1.0\n",
        "\n[broken\n",
    )
    assert [(p.file[-17:-16], p.path, p.line) for p in problems] == [
        ("3", "", 2),
        ("1", "teams.mill", 0),
        ("2", "teams.desk.limit", 0),
        ("0", "teams.mill.limit", 0),
    ]


def test_reference_to_an_entry_with_errors_is_not_a_second_error(tmp_path):
    content = GOOD.replace("executors = 2", 'executors = "2"')
    assert [p.path for p in problems_of(tmp_path, content)] == [
        "pools.orders.executors"
    ]


def typed_problems(read):
    """Return None on success, else the problems of the ConfigProblemsError as text."""
    try:
        read()
    except ConfigProblemsError as error:
        return [str(problem) for problem in error.problems]
    return None


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.just(10**4000),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["10s", "orders", "mill", "9" * 400 + "s"]),
)
NAME_TEXT = """fleet regions pools services teams queues maintenance name pool
budget min_available share limit job_limit open executors request_timeout
availability_zones orders"""
NAMES = st.sampled_from(tuple(NAME_TEXT.split()))
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(NAMES | st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(
    NAMES, st.dictionaries(NAMES, VALUES, max_size=4), max_size=5
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.sampled_from("ab"), DOCUMENTS | st.dictionaries(NAMES, VALUES))
)
def test_any_document_gives_a_configuration_or_the_typed_error(contents):
    assert typed_problems(lambda: read_contents(contents)) != []


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.binary(max_size=200)
    | st.sampled_from([b"a=" + b"[" * 5000, b"a=" + b"9" * 5000])
)
def test_any_bytes_give_a_document_or_the_typed_error(content):
    assert typed_problems(lambda: parse_file(content, "a")) != []
