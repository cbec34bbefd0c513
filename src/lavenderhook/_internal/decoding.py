"""Decoding of what other programs have written: malformed content raises `ProtocolError` alone."""

from __future__ import annotations

import contextlib
import tomllib
from collections.abc import Iterator
from typing import Annotated, Any, TypeVar

import msgspec

from ..errors import ProtocolError

MAX_MESSAGE_CHARACTERS = 300  # of an error, which may quote the content
# Whole numbers up to here are exact in all parts of the system and can be encoded again.
MAX_NUMBER = 2**53
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

_Content = TypeVar("_Content")


@contextlib.contextmanager
def reject_malformed(what: str) -> Iterator[None]:
    """Turn any failure of a decoder into a `ProtocolError`.

    Decoders have no side effects, so that whatever they raise is due to their input: besides their
    own errors, deep nesting raises `RecursionError`, and large numbers `OverflowError`.

    Parameters
    ----------
    what : str
        What is decoded, for the message.

    Raises
    ------
    ProtocolError
    """
    try:
        yield
    except ProtocolError:
        raise
    except Exception as error:
        message = f"malformed {what}: {type(error).__name__}: {error}"
        raise ProtocolError(message[:MAX_MESSAGE_CHARACTERS]) from error


def decode_json(content: bytes, content_type: type[_Content]) -> _Content:
    """Decode JSON.

    Raises
    ------
    ProtocolError
    """
    with reject_malformed(_describe(content_type)):
        return msgspec.json.decode(content, type=content_type)


def decode_any_json(content: bytes) -> Any:
    """Decode JSON of any form.

    Raises
    ------
    ProtocolError
    """
    with reject_malformed("JSON"):
        return msgspec.json.decode(content)


def decode_msgpack(content: bytes, content_type: type[_Content]) -> _Content:
    """Decode MessagePack.

    Raises
    ------
    ProtocolError
    """
    with reject_malformed(_describe(content_type)):
        return msgspec.msgpack.decode(content, type=content_type)


def decode_toml(text: str) -> dict[str, Any]:
    """Decode TOML.

    Raises
    ------
    ProtocolError
    """
    with reject_malformed("TOML"):
        return tomllib.loads(text)


def _describe(content_type: type[Any]) -> str:
    return getattr(content_type, "__name__", str(content_type)).strip("_")
