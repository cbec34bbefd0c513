"""Encoding of the configuration that an instance passes on to its peers."""

from __future__ import annotations

import enum
import zlib

from ...errors import ProtocolError

MAX_CONTENT_BYTES = 1_000_000  # limit of the store for what is written at once
COMPRESSION_LEVEL = 1  # routes are much alike, so that higher levels only take longer


class ContentEncoding(enum.Enum):
    """Form of a content on the wire."""

    PLAIN = ""
    ZLIB = "zlib"


def encode_content(content: bytes, encoding: ContentEncoding) -> bytes:
    """Return a content in the form in which it is sent."""
    if encoding is ContentEncoding.ZLIB:
        return zlib.compress(content, COMPRESSION_LEVEL)
    return content


def decode_content(encoded: bytes, encoding: ContentEncoding) -> bytes:
    """Return a content from the form in which it was sent.

    Raises
    ------
    ProtocolError
        If it can't be decoded or exceeds `MAX_CONTENT_BYTES`.
    """
    if encoding is ContentEncoding.ZLIB:
        decoder = zlib.decompressobj()
        try:
            content = decoder.decompress(encoded, MAX_CONTENT_BYTES + 1)
        except zlib.error as error:
            raise ProtocolError(f"malformed compressed configuration: {error}") from error
        if not decoder.eof and len(content) <= MAX_CONTENT_BYTES:
            raise ProtocolError("the compressed configuration is incomplete")
    else:
        content = encoded
    if len(content) > MAX_CONTENT_BYTES:
        raise ProtocolError(f"the configuration has more than {MAX_CONTENT_BYTES} bytes")
    return content
