"""Decoding of bytes that another process has written."""

import enum
import re
import typing

import msgspec

_Message = typing.TypeVar('_Message')
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


class Reason(enum.Enum):
    """Why bytes can't be decoded."""

    # The bytes are not in the format at all.
    MALFORMED = 'malformed'
    # A field is missing, of another type or out of its range.
    INVALID = 'invalid'
    # Values are nested too deeply for the decoder.
    TOO_DEEP = 'too_deep'


class DecodingError(ValueError):
    """Bytes can't be decoded as the expected message."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class Decoder(typing.Generic[_Message]):
    """Decodes one type of message; raises no error but ``DecodingError``.

    The decoders of msgspec also raise ``RecursionError``, which callers that
    handle ``msgspec.DecodeError`` miss.
    """

    def __init__(
        self, decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder
    ) -> None:
        self._decoder = decoder

    @classmethod
    def for_json(cls, message_type: typing.Any) -> typing.Self:
        """Return a decoder of JSON."""
        return cls(msgspec.json.Decoder(message_type))

    @classmethod
    def for_msgpack(cls, message_type: typing.Any) -> typing.Self:
        """Return a decoder of MessagePack."""
        return cls(msgspec.msgpack.Decoder(message_type))

    def decode(self, data: bytes | msgspec.Raw) -> _Message:
        """Return the message; raise ``DecodingError`` if there is none."""
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError as error:
            raise DecodingError(Reason.INVALID, str(error)) from error
        except RecursionError as error:
            raise DecodingError(Reason.TOO_DEEP, str(error)) from error
        except (ValueError, ArithmeticError, MemoryError) as error:
            raise DecodingError(Reason.MALFORMED, str(error)) from error


def cut_deep_values(data: bytes, max_depth: int) -> bytes:
    """Replace the values of a JSON text that are nested too deeply.

    Each array or object at a depth of more than ``max_depth`` becomes
    ``false``, so that the rest of the text can be decoded.
    """
    kept: list[bytes] = []
    depth = position = 0
    for token in _TOKEN.finditer(data):
        match token.group():
            case b'[' | b'{':
                depth += 1
                if depth == max_depth + 1:
                    kept += data[position : token.start()], b'false'
            case b']' | b'}':
                if depth == max_depth + 1:
                    position = token.end()
                depth -= 1
    if depth <= max_depth:
        kept.append(data[position:])
    return b''.join(kept)
