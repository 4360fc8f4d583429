"""Decoding of the JSON documents of the platform and its executors."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(content: bytes, kind: type[T]) -> T:
    """Decode a JSON document; raises msgspec.MsgspecError.

    Anybody may write a registration or send a job, also one that is nested too deeply
    to be decoded.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
