"""Publish a configuration as one revision by compare-and-swap."""

from __future__ import annotations

from dataclasses import replace

from ..platform import layout
from ..platform.records import Change, commit_changes, read_record
from ..platform.store import Store
from .model import FleetConfig


async def publish(store: Store, config: FleetConfig, made_from: int) -> FleetConfig:
    """Publish ``config`` as the revision after ``made_from``.

    Raises ConflictError if another revision was published since.
    """
    head = await read_record(store, layout.CONFIG_HEAD, int)
    config = replace(config, revision=made_from + 1)
    key = layout.config_revision_key(config.revision)
    if head is not None and head.value != made_from:
        head = replace(head, mod_revision=-1)
    await commit_changes(
        store,
        [
            Change(layout.CONFIG_HEAD, config.revision, head),
            Change(key, config, None),
        ],
    )
    return config
