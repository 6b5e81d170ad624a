"""Rows of the store that keep suspects beyond the loss of all instances."""

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import figures
from vanillayoke.scheduling import quarantine

TABLE = 'suspects'
# Few rows, which a starting instance reads with one call.
PARTITION = ''


class _EndRow(msgspec.Struct, frozen=True, array_like=True):
    """A process that ended; times are wall times in seconds."""

    target: str
    started: figures.Ordinal
    service: str
    software_version: str
    began_at: figures.WallSeconds
    ended_at: figures.WallSeconds
    versions: tuple[str, ...]
    number: figures.Count


class _SuspectRow(msgspec.Struct, frozen=True, array_like=True):
    ends: tuple[_EndRow, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: decoding.Decoder[_SuspectRow] = decoding.Decoder.for_msgpack(
    _SuspectRow
)


def encode(suspect: quarantine.Suspect, clock_offset: float) -> bytes:
    """Return the value of a suspect's row.

    ``clock_offset`` is the wall time less the instance's clock, in seconds.
    """
    return _ENCODER.encode(
        _SuspectRow(
            tuple(
                _EndRow(
                    end.target,
                    end.started,
                    *end.software,
                    end.began_at + clock_offset,
                    end.ended_at + clock_offset,
                    end.versions,
                    end.number,
                )
                for end in suspect.ends.values()
            )
        )
    )


def decode(value: bytes, clock_offset: float, now: float) -> list:
    """Return the ends that a row lists, none later than ``now``.

    Raise ``DecodingError`` if the row can't be used.
    """
    return [
        quarantine.End(
            row.target,
            row.started,
            quarantine.Software(row.service, row.software_version),
            min(now, row.began_at - clock_offset),
            min(now, row.ended_at - clock_offset),
            row.versions,
            row.number,
        )
        for row in _DECODER.decode(value).ends
    ]
