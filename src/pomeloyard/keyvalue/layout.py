"""Names of the store's keys.

Everything that each daemon follows is under one prefix, so that a daemon needs
a single watch for it.
"""

FOLLOWED = "f/"
CONFIG_HEAD = "f/config/head"
KEYS = "f/keys"
PARTITIONS = "f/partitions"
DAEMONS = "f/daemons/"
VMS = "f/vms/"
ROLES = "f/roles/"

RELAYS = "relays/"
"""Addresses at which daemons pass calls to the store on, by VM."""

CONFIG_REVISIONS = "config/revisions/"
CONFIG_HISTORY = "config/history"
JOBS = "jobs/"
CLAIMS = "claims/"
BUDGETS = "budgets/"
WAVES = "waves/"
MOVES = "moves/"


def config_revision_key(revision: int) -> str:
    """Return the key of a configuration revision; keys sort by number.

    >>> config_revision_key(42)
    'config/revisions/0000000042'
    """
    return f"{CONFIG_REVISIONS}{revision:010d}"
