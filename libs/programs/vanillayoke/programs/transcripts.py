"""What a turn leaves behind for the turns that continue it.

A kept turn is one row or a few: the text up to and with the turn, split into
pieces that fit a row. A long text is not repeated in each turn's row; the
turn then names the turn before and holds only what it added.
"""

import typing

import msgspec

# Text up to this size is stored whole with each turn, so that one read finds
# it; beyond, the bytes written again would cost more than the reads saved.
WHOLE_BYTES = 40 * 1024
# Room in a row for all beside the text.
ROW_MARGIN = 2048


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """One row of a kept turn.

    ``base`` names the turn whose text comes before this one's, '' for none.
    ``pieces`` counts the rows; ``time`` is the wall time in seconds.
    """

    base: str
    pieces: int
    time: float
    text: bytes


class StoredTurn(typing.NamedTuple):
    """A kept turn as read: its base, '' for none, and its own text."""

    base: str
    text: bytes


class BrokenTurnError(Exception):
    """The rows of a turn are not all there or make no sense."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Piece)


def make_rows(
    turn: str,
    base: str,
    before: bytes,
    added: bytes,
    row_bytes: int,
    time: float,
) -> list[tuple[str, bytes]]:
    """Return keys and values of the rows that keep a turn."""
    is_whole = len(before) + len(added) <= WHOLE_BYTES or not base
    text = before + added if is_whole else added
    named = '' if is_whole else base
    # Values travel as base64 and the limit may count that: three quarters.
    size = row_bytes * 3 // 4 - ROW_MARGIN
    parts = [text[at : at + size] for at in range(0, len(text), size)] or [b'']
    return [
        (
            make_key(turn, index),
            _ENCODER.encode(Piece(named, len(parts), time, part)),
        )
        for index, part in enumerate(parts)
    ]


def make_key(turn: str, index: int) -> str:
    """Return the key of one of a turn's rows; the first is the turn's id."""
    return turn if index == 0 else f'{turn}~{index:04d}'


def get_key_end(turn: str) -> str:
    """Return the key behind all rows of a turn, for a range read."""
    return f'{turn}~~'


def read_rows(turn: str, rows: dict[str, bytes]) -> StoredTurn | None:
    """Return a turn from rows by key; ``None`` if it is not among them."""
    first = rows.get(turn)
    if first is None:
        return None
    try:
        head = _DECODER.decode(first)
        texts = [head.text]
        for index in range(1, head.pieces):
            texts.append(_DECODER.decode(rows[make_key(turn, index)]).text)
    except (msgspec.DecodeError, KeyError) as error:
        raise BrokenTurnError(f'turn {turn}: {error!r}') from error
    return StoredTurn(head.base, b''.join(texts))


def read_time(value: bytes) -> float | None:
    """Return when a row was written; ``None`` if it can't be read."""
    try:
        return _DECODER.decode(value).time
    except msgspec.DecodeError:
        return None
