"""What a turn leaves behind for the turns that continue it.

A kept turn is one row or a few: the text up to and with the turn, split into
pieces that fit a row. A long text is not repeated in each turn's row; the
turn then names the turn before and holds only what it added.
"""

import typing

import msgspec

# Text up to this size is stored whole with each turn, so that one read finds
# it; beyond, the bytes written again would cost more than the reads saved.
MAX_FULL_TEXT_BYTES = 40 * 1024
# Room in a row for all beside the text.
ROW_OVERHEAD_BYTES = 2048


class TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """One row of a kept turn.

    ``base`` names the turn whose text comes before this one's, '' for none.
    ``row_count`` is the number of rows; ``time`` is the wall time in seconds.
    """

    base: str
    row_count: int
    time: float
    text: bytes


class StoredTurn(typing.NamedTuple):
    """A kept turn as read: its base, '' for none, and its own text."""

    base: str
    text: bytes


class CorruptTurnError(Exception):
    """The rows of a turn are not all there or make no sense."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(TurnRow)


def make_rows(
    turn: str,
    base: str,
    history: bytes,
    new_text: bytes,
    row_bytes: int,
    time: float,
) -> list[tuple[str, bytes]]:
    """Return keys and values of the rows that keep a turn."""
    is_whole = len(history) + len(new_text) <= MAX_FULL_TEXT_BYTES or not base
    text = history + new_text if is_whole else new_text
    named = '' if is_whole else base
    # Values travel as base64 and the limit may count that: three quarters.
    size = row_bytes * 3 // 4 - ROW_OVERHEAD_BYTES
    parts = [text[at : at + size] for at in range(0, len(text), size)] or [b'']
    return [
        (
            make_row_key(turn, index),
            _ENCODER.encode(TurnRow(named, len(parts), time, part)),
        )
        for index, part in enumerate(parts)
    ]


def make_row_key(turn: str, index: int) -> str:
    """Return the key of one of a turn's rows; the first is the turn's id."""
    return turn if index == 0 else f'{turn}~{index:04d}'


def get_range_end(turn: str) -> str:
    """Return the key behind all rows of a turn, for a range read."""
    return f'{turn}~~'


def decode_rows(turn: str, rows: dict[str, bytes]) -> StoredTurn | None:
    """Return a turn from rows by key; ``None`` if it is not among them."""
    first = rows.get(turn)
    if first is None:
        return None
    try:
        head = _DECODER.decode(first)
        texts = [head.text]
        for index in range(1, head.row_count):
            texts.append(_DECODER.decode(rows[make_row_key(turn, index)]).text)
    except (msgspec.DecodeError, KeyError) as error:
        raise CorruptTurnError(f'turn {turn}: {error!r}') from error
    return StoredTurn(head.base, b''.join(texts))


def decode_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be read."""
    try:
        return _DECODER.decode(value).time
    except msgspec.DecodeError:
        return None
