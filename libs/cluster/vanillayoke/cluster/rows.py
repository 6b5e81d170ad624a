"""Rows of the table service that say who is there and who owns what."""

import enum
import typing

import msgspec

from vanillayoke.core import ids

INSTANCE_PREFIX = 'instance/'
SHARD_PREFIX = 'shard/'
TAIL_PREFIX = 'tail/'
NOTICE_PREFIX = 'notice/'
JOURNAL_PREFIX = 'journal/'
_SHARD_DIGITS = 4
_SEGMENT_DIGITS = 10


class InstanceState(enum.Enum):
    """How far an incarnation of an instance has come.

    The journal of a fenced or gone one is final.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    FENCED = 'fenced'
    GONE = 'gone'

    @property
    def is_final(self) -> bool:
        """Tell whether the incarnation can write no more."""
        return self in (InstanceState.FENCED, InstanceState.GONE)


class InstanceRow(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an instance: its lease and its journal's extent.

    Each conditional write of the row renews the lease and commits journal
    records. Segments ``base`` to ``head`` count, ``head`` being ``base - 1``
    while there is none; ``tail`` tells whether the tail row holds records
    that follow them. ``started`` is wall-clock time, to tell the incarnations
    of one name apart where that only steers routing.
    """

    name: str
    incarnation: str
    zone: str
    region: str
    entry_address: str
    peer_address: str
    started: float = 0.0
    base: int = 1
    head: int = 0
    tail: bool = False
    state: InstanceState = InstanceState.LIVE
    fenced_by: str = ''
    config_version: int = 0


class Source(msgspec.Struct, frozen=True, array_like=True):
    """A journal that holds records of a shard, written under one epoch.

    Only the segments ``first`` to ``last`` need to be read; ``last`` 0 means
    the whole journal, which is final by then.
    """

    incarnation: str
    epoch: int
    first: int = 0
    last: int = 0


class ShardRow(msgspec.Struct, frozen=True, array_like=True):
    """Who owns a shard, under which epoch, and what it has to replay.

    An ``owner`` of '' means that any instance may claim the shard.
    ``sources`` are in the order of their epochs and end before ``epoch``.
    """

    owner: str = ''
    epoch: int = 0
    sources: tuple[Source, ...] = ()


class TailRow(msgspec.Struct, frozen=True):
    """The newest records of a journal, behind its last segment ``head``.

    It is written in one transaction with the instance's row.
    """

    head: int
    records: tuple[msgspec.Raw, ...]


class NoticeRow(msgspec.Struct, frozen=True):
    """News that an incarnation gives of itself, or its fencer of it.

    ``handed`` maps new owners to the shards handed to them that they have
    not yet confirmed.
    """

    incarnation: str
    fenced: bool = False
    handed: dict[str, tuple[int, ...]] = {}


RowStruct = typing.TypeVar('RowStruct', bound=msgspec.Struct)


def name_instance_row(incarnation: str) -> str:
    """Return the key of an incarnation's row."""
    return f'{INSTANCE_PREFIX}{incarnation}'


def name_tail_row(incarnation: str) -> str:
    """Return the key of the row that holds the journal's newest records."""
    return f'{TAIL_PREFIX}{incarnation}'


def name_notice_row(incarnation: str) -> str:
    """Return the key of the news about an incarnation."""
    return f'{NOTICE_PREFIX}{incarnation}'


def name_shard_row(shard: ids.Shard) -> str:
    """Return the key of a shard's row; keys sort as the shards do."""
    return f'{SHARD_PREFIX}{shard:0{_SHARD_DIGITS}d}'


def parse_shard_row(key: str) -> ids.Shard:
    """Return the shard that a row's key names."""
    return ids.Shard(int(key.removeprefix(SHARD_PREFIX)))


def name_segment_prefix(incarnation: str) -> str:
    """Return what the object keys of a journal's segments begin with."""
    return f'{JOURNAL_PREFIX}{incarnation}/'


def name_segment(incarnation: str, number: int) -> str:
    """Return the object key of a journal segment."""
    prefix = name_segment_prefix(incarnation)
    return f'{prefix}{number:0{_SEGMENT_DIGITS}d}'


def encode_row(row: msgspec.Struct) -> bytes:
    """Encode a row's value to MessagePack."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes, kind: type[RowStruct]) -> RowStruct:
    """Decode a row's value; raises ``msgspec.DecodeError`` on damage."""
    return msgspec.msgpack.decode(value, type=kind)
