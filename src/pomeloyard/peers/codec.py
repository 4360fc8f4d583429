"""Encoding of messages as length-prefixed msgpack frames."""

from __future__ import annotations

import struct

import msgpack
import msgspec

from ..errors import FrameError
from .messages import MESSAGE_TYPES, PROTOCOL_VERSION, Message

MAX_FRAME_BYTES = 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")

_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(MESSAGE_TYPES)
}


def encode_frame(message: Message, sequence: int = 0) -> bytes:
    """Return the frame of a message: a 4-byte length, then msgpack."""
    number = _TYPE_NUMBERS[type(message)]
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    payload: bytes = msgpack.packb([PROTOCOL_VERSION, number, sequence, body])
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(
            f"{type(message).__name__} frame of {len(payload)} bytes is too large"
        )
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_length(prefix: bytes) -> int:
    """Return the payload length of a frame from its 4-byte prefix."""
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return int(length)


def decode_payload(payload: bytes) -> tuple[int, Message]:
    """Return the sequence number and message of a frame's payload."""
    try:
        frame = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        raise FrameError(f"malformed frame: {error!r}") from error
    if not isinstance(frame, list) or len(frame) != 4:
        raise FrameError("frame is not an array of 4 elements")
    version, number, sequence, body = frame
    if type(version) is not int or version != PROTOCOL_VERSION:
        raise FrameError(f"protocol version {version!r} is not supported")
    if type(number) is not int or not 0 <= number < len(MESSAGE_TYPES):
        raise FrameError(f"unknown message type {number!r}")
    if type(sequence) is not int:
        raise FrameError("sequence number is not an integer")
    try:
        return sequence, msgspec.convert(body, MESSAGE_TYPES[number])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise FrameError(
            f"invalid {MESSAGE_TYPES[number].__name__}: {error}"
        ) from error
