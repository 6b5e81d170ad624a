"""Ranges of the numbers in messages of other processes.

Decoders of messages with these types reject numbers that no process can mean,
such as infinities or integers that don't fit into a float.
"""

import typing

import msgspec

# Requests, slots, tokens and the like.
MAX_COUNT = 10**9
# Integers up to this are exact as floats, too.
MAX_ORDINAL = 2**53
MAX_SECONDS = 1e9

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
SignedCount = typing.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
# Versions, incarnations, sequence numbers and times in milliseconds.
Ordinal = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ORDINAL)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=float(MAX_COUNT))]
Seconds = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_SECONDS, le=MAX_SECONDS)
]
# Since 1970.
WallSeconds = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]
