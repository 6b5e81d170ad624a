"""Rows that store the text of a turn for the turns that continue it.

A stored turn has one or more rows. It holds the whole conversation up to and
including the turn or, if that is long, only the text that the turn added and
the id of the previous turn. Rows are removed some time after they were
written, so a long conversation is stored whole again before its first rows
expire.
"""

import math
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
    The row is kept for at least ``lifetime`` seconds from then on.
    """

    base: str
    row_count: figures.Count
    time: figures.WallSeconds
    text: bytes
    lifetime: figures.Seconds = 0.0


class StoredTurn(typing.NamedTuple):
    """A decoded turn: its base turn, '' for none, and its own text.

    Its rows may be removed after ``expires_at``, a wall time in seconds.
    """

    base: str
    text: bytes
    expires_at: float


class History(typing.NamedTuple):
    """The text of a turn and all before it.

    ``expires_at`` is the wall time after which rows that hold it may be
    removed.
    """

    text: bytes = b''
    expires_at: float = math.inf


class EncodedTurn(typing.NamedTuple):
    """The keys and values of a turn's rows, the first row first.

    They and those that they rely on last until ``expires_at``, a wall time in
    seconds.
    """

    rows: list[tuple[str, bytes]]
    expires_at: float


class CorruptTurnError(Exception):
    """A row of a turn is missing or can't be decoded."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: decoding.Decoder[TurnRow] = decoding.Decoder.for_msgpack(TurnRow)


def encode_turn(
    turn: str,
    previous_turn: str,
    history: History,
    new_text: bytes,
    row_bytes: int,
    time: float,
    lifetime: float = 0.0,
    needed: float = 0.0,
) -> EncodedTurn:
    """Return the rows that store a turn.

    The rows of ``previous_turn`` are relied on if they last for at least
    ``needed`` seconds.
    """
    has_full_text = (
        len(history.text) + len(new_text) <= MAX_FULL_TEXT_BYTES
        or not previous_turn
        or history.expires_at < time + needed
    )
    text = history.text + new_text if has_full_text else new_text
    base, expires_at = '', time + lifetime
    if not has_full_text:
        base, expires_at = previous_turn, min(expires_at, history.expires_at)
    # The row limit may apply after base64, which adds a third to the size.
    max_part_bytes = row_bytes * 3 // 4 - ROW_OVERHEAD_BYTES
    parts = [
        text[offset : offset + max_part_bytes]
        for offset in range(0, len(text), max_part_bytes)
    ] or [b'']
    rows = [
        (
            make_row_key(turn, index),
            _ENCODER.encode(TurnRow(base, len(parts), time, part, lifetime)),
        )
        for index, part in enumerate(parts)
    ]
    return EncodedTurn(rows, expires_at)


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
    return StoredTurn(head.base, b''.join(texts), head.time + head.lifetime)


def decode_expiry(value: bytes, lifetime: float) -> float | None:
    """Return the wall time after which a row may be removed.

    ``lifetime`` is what rows are kept for at present. Return ``None`` if the
    row can't be decoded.
    """
    try:
        row = _DECODER.decode(value)
    except decoding.DecodingError:
        return None
    return row.time + max(row.lifetime, lifetime)
