"""Membership messages between instances, and the updates that they carry.

All are encoded as MessagePack arrays without field names, so that a packet
holds more updates. New fields are appended with a default.
"""

import enum
import typing

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import figures


class State(enum.IntEnum):
    """The state of a member as the other instances see it."""

    ALIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    FAILED = 3
    LEFT = 4


class Member(typing.NamedTuple):
    """The record of one instance; addresses are ``IP:PORT``.

    Only the instance itself raises ``incarnation``, at each start and to
    refute a suspicion.
    """

    instance: str
    incarnation: figures.Ordinal
    zone: str
    region: str
    entry_address: str
    peer_address: str
    state: State = State.ALIVE


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag='m'):
    """The state of a member has changed."""

    member: Member


class ConfigurationUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='c'
):
    """A configuration of this version has been accepted."""

    version: figures.Ordinal


class TargetState(enum.IntEnum):
    """The state of a target as an instance has observed it."""

    RECOVERED = 0
    LEAVING = 1
    FAILED = 2


class TargetUpdate(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """The state of a target has changed.

    ``observed`` is the observer's hybrid time in wall milliseconds; the latest
    update of a target wins.
    """

    target: str
    state: TargetState
    observed: int


class FencedUpdate(msgspec.Struct, frozen=True, array_like=True, tag='f'):
    """An instance's lease was taken over; ``incarnation`` is the lease's."""

    instance: str
    incarnation: str


Update = MemberUpdate | ConfigurationUpdate | TargetUpdate | FencedUpdate


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='P'):
    """Probe a member.

    ``reply_to`` is the address that the ``Ack`` goes to. ``attempt`` 1 means
    that attempt 0 was not acknowledged. ``introduce`` requests the record of
    the probed member. ``confirmed`` counts the sender's members of which it
    has received updates, ``unconfirmed`` those that are only listed.
    """

    sequence: figures.Ordinal
    sender: str
    reply_to: str
    attempt: figures.Count
    introduce: bool
    confirmed: figures.Count
    unconfirmed: figures.Count
    updates: list[msgspec.Raw] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='A'):
    """Acknowledge a ping; ``sequence`` is that of the ping."""

    sequence: figures.Ordinal
    sender: str
    updates: list[msgspec.Raw] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag='R'):
    """Request a third member to ping ``address`` and forward the ``Ack``."""

    sequence: figures.Ordinal
    sender: str
    reply_to: str
    instance: str
    address: str
    updates: list[msgspec.Raw] = []


class Notice(msgspec.Struct, frozen=True, array_like=True, tag='N'):
    """Send updates that can't wait for the next ping; not acknowledged."""

    sender: str
    updates: list[msgspec.Raw] = []


Message = Ping | Ack | PingRequest | Notice


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A message on the wire; ``time`` is the sender's hybrid time."""

    time: int
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_PACKET_DECODER: decoding.Decoder[Packet] = decoding.Decoder.for_msgpack(
    Packet
)
_UPDATE_DECODER: decoding.Decoder[Update] = decoding.Decoder.for_msgpack(
    Update
)


def encode_packet(packet: Packet) -> bytes:
    """Return a packet as sent on the wire."""
    return _ENCODER.encode(packet)


def decode_packet(data: bytes) -> Packet | None:
    """Return a received packet, ``None`` if it is malformed."""
    try:
        return _PACKET_DECODER.decode(data)
    except decoding.DecodingError:
        return None


def encode_update(update: Update) -> msgspec.Raw:
    """Return an update as encoded in a packet."""
    return msgspec.Raw(_ENCODER.encode(update))


def decode_updates(encoded: typing.Iterable[msgspec.Raw]) -> list[Update]:
    """Return the updates that this version can decode.

    During a rolling upgrade newer instances may send kinds of updates that
    this one does not know. Only these are dropped: with the whole packet an
    ack would get lost, and a live member would look failed.
    """
    updates = []
    for raw in encoded:
        try:
            updates.append(_UPDATE_DECODER.decode(raw))
        except decoding.DecodingError:
            continue
    return updates
