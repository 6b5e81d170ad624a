"""Server-sent events of an answer stream."""

import msgspec

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.entry import host

HEARTBEAT = b':\n\n'
CONTENT_TYPE = 'text/event-stream'

_encoder = msgspec.json.Encoder()


class TextData(msgspec.Struct, frozen=True):
    """Data of ``text``; ``offset`` is that of its first character."""

    offset: int
    text: str


class ResetData(msgspec.Struct, frozen=True):
    """Data of ``reset``: text from the offset on is void."""

    offset: int


class StepData(msgspec.Struct, frozen=True):
    """Data of ``step``: a call of a run began or ended."""

    offset: int
    number: int
    name: str
    state: str


class DoneData(msgspec.Struct, frozen=True):
    """Data of ``done``, and the whole answer where none is streamed."""

    offset: int
    number: int
    text: str
    tool_calls: tuple[dict[str, str], ...]
    finish_reason: str
    usage: dict[str, int]


def encode(item: host.StreamItem) -> bytes:
    """Encode one item; its id is the offset to resume from."""
    match item:
        case host.TextPiece(offset, text):
            data = _encoder.encode(TextData(offset, text))
            after = offset + len(text)
            return b'event: text\nid: %d\ndata: %b\n\n' % (after, data)
        case host.StepNote():
            return _frame(b'step', item.offset, StepData(*item))
        case host.TextReset(offset):
            return _frame(b'reset', offset, ResetData(offset))
        case host.FinalAnswer():
            return _frame(b'done', item.offset, DoneData(*item))
        case failures.Failure():
            data = _encoder.encode(answers.describe(item))
            return b'event: error\ndata: %b\n\n' % data


def _frame(name: bytes, offset: int, value: msgspec.Struct) -> bytes:
    data = _encoder.encode(value)
    return b'event: %b\nid: %d\ndata: %b\n\n' % (name, offset, data)


def is_final(item: host.StreamItem) -> bool:
    """Tell whether a stream ends with an item."""
    return isinstance(item, (host.FinalAnswer, failures.Failure))
