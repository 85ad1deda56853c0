"""Decodes documents that others write; the only error is :class:`DecodeError`."""

from typing import TypeVar

import msgspec

from loomwind.errors import LoomwindError

Document = TypeVar("Document")

# Deep nesting is a RecursionError; invalid UTF-8 and numbers beyond their type are ValueErrors.
DECODER_EXCEPTIONS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


class DecodeError(LoomwindError):
    """Bytes cannot be decoded as the expected type."""


def decode_json(data: bytes | str, document_type: type[Document]) -> Document:
    """Decode JSON.

    :raises DecodeError: it is malformed, of another type, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except DECODER_EXCEPTIONS as error:
        raise DecodeError(str(error)) from error


def decode_msgpack(data: bytes, document_type: type[Document]) -> Document:
    """Decode MessagePack.

    :raises DecodeError: it is malformed, of another type, or nested too deeply.
    """
    try:
        return msgspec.msgpack.decode(data, type=document_type)
    except DECODER_EXCEPTIONS as error:
        raise DecodeError(str(error)) from error
