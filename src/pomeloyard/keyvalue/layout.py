"""Keys and prefixes in the store.

All records that every daemon follows are under one prefix, so that one watch per
daemon suffices.
"""

WATCHED_PREFIX = "f/"
CONFIG_PREFIX = "f/config/"
"""What must not wait for a watch that hangs; read in one call."""
CONFIG_HEAD = "f/config/head"
EVACUATIONS = "f/config/evacuations"
KEYS = "f/keys"
PARTITIONS = "f/partitions"
DAEMONS = "f/daemons/"
VMS = "f/vms/"
ROLES = "f/roles/"

RELAYS = "relays/"
"""Addresses at which daemons relay calls to the store, by VM."""

CONFIG_REVISIONS = "config/revisions/"
CONFIG_HISTORY = "config/history"
JOBS = "jobs/"
CLAIMS = "claims/"
BUDGETS = "budgets/"
WAVES = "waves/"
MOVES = "moves/"


def config_revision_key(revision: int) -> str:
    """Return the key of a configuration revision; keys sort by revision.

    >>> config_revision_key(42)
    'config/revisions/0000000042'
    """
    return f"{CONFIG_REVISIONS}{revision:010d}"
