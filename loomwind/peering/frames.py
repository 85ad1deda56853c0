"""Framing of peer messages: a four-byte big-endian length, then a MessagePack envelope."""

import struct

import msgspec

from loomwind import constants
from loomwind.decoding import DecodeError, decode_msgpack
from loomwind.messages import AnyMessage
from loomwind.peering.errors import BadFrame

_LENGTH = struct.Struct(">I")


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the data that matches answers to calls.

    :param call: the ID of the call, repeated in its answer; 0 for a one-way message.
    :param answer: whether the message is the answer to a call.
    """

    call: int
    answer: bool
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()


def encode(envelope: Envelope) -> bytes:
    """Return an envelope encoded as one frame."""
    payload = _encoder.encode(envelope)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Decodes a byte stream into envelopes."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Envelope]:
        """Add received bytes, and return the envelopes that they complete.

        :raises BadFrame: a frame is too large or cannot be decoded.
        """
        self._buffer += data
        envelopes = []
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > constants.PEER_FRAME_MAX_BYTES:
                raise BadFrame(f"frame of {size} bytes is too large")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                envelopes.append(decode_msgpack(payload, Envelope))
            except DecodeError as error:
                raise BadFrame(str(error)) from error
        return envelopes
