"""Rows that store the text of a turn for the turns that continue it.

A stored turn has one or more rows. It holds the whole conversation up to and
including the turn or, if that is long, only the text that the turn added and
the id of the previous turn.
"""

import typing

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import figures

# Up to this size, each turn stores the whole conversation, so that one read
# returns it. Rewriting a longer one would cost more than the reads it saves.
MAX_FULL_TEXT_BYTES = 40 * 1024
# Space in a row for everything except the text.
ROW_OVERHEAD_BYTES = 2048


class TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """One row of a stored turn.

    ``base`` is the turn that this one's text continues, '' for none.
    ``row_count`` is the number of rows; ``time`` is the wall time in seconds.
    """

    base: str
    row_count: figures.Count
    time: figures.WallSeconds
    text: bytes


class StoredTurn(typing.NamedTuple):
    """A decoded turn: its base turn, '' for none, and its own text."""

    base: str
    text: bytes


class CorruptTurnError(Exception):
    """A row of a turn is missing or can't be decoded."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: decoding.Decoder[TurnRow] = decoding.Decoder.for_msgpack(TurnRow)


def make_rows(
    turn: str,
    previous_turn: str,
    history: bytes,
    new_text: bytes,
    row_bytes: int,
    time: float,
) -> list[tuple[str, bytes]]:
    """Return the keys and values of the rows that store a turn."""
    has_full_text = (
        len(history) + len(new_text) <= MAX_FULL_TEXT_BYTES
        or not previous_turn
    )
    text = history + new_text if has_full_text else new_text
    base = '' if has_full_text else previous_turn
    # The row limit may apply after base64, which adds a third to the size.
    max_part_bytes = row_bytes * 3 // 4 - ROW_OVERHEAD_BYTES
    parts = [
        text[offset : offset + max_part_bytes]
        for offset in range(0, len(text), max_part_bytes)
    ] or [b'']
    return [
        (
            make_row_key(turn, index),
            _ENCODER.encode(TurnRow(base, len(parts), time, part)),
        )
        for index, part in enumerate(parts)
    ]


def make_row_key(turn: str, index: int) -> str:
    """Return the key of a row; the first row has the id of the turn."""
    return turn if index == 0 else f'{turn}~{index:04d}'


def get_range_end(turn: str) -> str:
    """Return the exclusive end of the range of a turn's row keys."""
    return f'{turn}~~'


def decode_rows(turn: str, rows: dict[str, bytes]) -> StoredTurn | None:
    """Decode a turn from rows by key; ``None`` if its first row is absent.

    Raise ``CorruptTurnError`` if its rows are incomplete or invalid.
    """
    first = rows.get(turn)
    if first is None:
        return None
    try:
        head = _DECODER.decode(first)
        texts = [head.text]
        for index in range(1, head.row_count):
            texts.append(_DECODER.decode(rows[make_row_key(turn, index)]).text)
    except (decoding.DecodingError, KeyError) as error:
        raise CorruptTurnError(f'turn {turn}: {error!r}') from error
    return StoredTurn(head.base, b''.join(texts))


def decode_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be decoded."""
    try:
        return _DECODER.decode(value).time
    except decoding.DecodingError:
        return None
