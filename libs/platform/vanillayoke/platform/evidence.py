"""What rows read back prove of a transaction whose reply was lost.

A version that a row has passed never comes back. Of all copies of one
transaction that are under way, at most one can so take effect, if one of its
writes expects an existing version; such a write is *pinned*. Nothing else
bounds a copy that is delayed on the network: without a pinned write a repeat
could take effect twice, around another writer's deletion.
"""

import enum
import typing

from vanillayoke.platform import ports

Write = ports.Put | ports.Delete


class Verdict(enum.Enum):
    """What became of a transaction in doubt.

    ``PENDING`` means that it had not taken effect when the rows were read,
    but that a delayed copy of it still may.
    """

    COMMITTED = enum.auto()
    LOST = enum.auto()
    PENDING = enum.auto()
    UNKNOWN = enum.auto()


class Reading(typing.NamedTuple):
    """A write of the transaction and its row as read after the doubt."""

    write: Write
    row: ports.Row | None


def is_pinned(write: Write) -> bool:
    """Tell whether a write can take effect only once."""
    return write.expected is not None and write.expected > 0


def judge(
    write_id: str, readings: typing.Sequence[Reading], closed: bool
) -> Verdict:
    """Judge by the rows, read after the doubt arose; some may be missing.

    ``closed`` says that, before the rows were read, a repeat was refused
    since a pinned row had moved on: no copy can take effect any more.
    """
    if any(_is_own(reading, write_id) for reading in readings):
        return Verdict.COMMITTED
    if find_taken(readings) is not None:
        return Verdict.LOST
    if any(_is_unmoved(reading) for reading in readings):
        return Verdict.LOST if closed else Verdict.PENDING
    return Verdict.UNKNOWN


def find_taken(readings: typing.Sequence[Reading]) -> str | None:
    """Return the key of a pinned row whose next write was another's."""
    for write, row in readings:
        if row is None or not is_pinned(write):
            continue
        if row.version == write.expected + 1:
            return write.key
    return None


def find_versions(
    write_id: str,
    writes: typing.Sequence[Write],
    readings: typing.Sequence[Reading],
) -> dict[str, int]:
    """Return the versions that a committed transaction gave its rows.

    Where another writer has changed a row since, the version is one that
    the row no longer has, so that a write expecting it conflicts. The
    row's present version would let its reader overwrite that change.
    """
    versions = {write.key: (write.expected or 0) + 1 for write in writes}
    for reading in readings:
        if _is_own(reading, write_id):
            versions[reading.write.key] = reading.row.version
    return versions


def _is_own(reading: Reading, write_id: str) -> bool:
    return reading.row is not None and reading.row.write_id == write_id


def _is_unmoved(reading: Reading) -> bool:
    if reading.row is None or not is_pinned(reading.write):
        return False
    return reading.row.version <= reading.write.expected
