"""Messages between instances, and what they say of each other.

All are MessagePack arrays: field names stay off the wire, so that a packet
holds more news. New fields go to the end with a default.
"""

import enum
import typing

import msgspec


class State(enum.IntEnum):
    """What the other instances hold a member for."""

    ALIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    FAILED = 3
    LEFT = 4


class Member(typing.NamedTuple):
    """One instance as membership knows it; addresses are ``IP:PORT``.

    Only the instance itself raises ``incarnation``: at each start and to
    refute a suspicion.
    """

    instance: str
    incarnation: int
    zone: str
    region: str
    entry_address: str
    peer_address: str
    state: State = State.ALIVE


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, tag='m'):
    """A member changed its state."""

    member: Member


class ConfigurationUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='c'
):
    """An instance has seen an accepted configuration of this version."""

    version: int


class TargetState(enum.IntEnum):
    """What an instance found out about a target."""

    RECOVERED = 0
    LEAVING = 1
    FAILED = 2


class TargetUpdate(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """A target leaves, failed or is back.

    ``observed`` is the observer's hybrid time in wall milliseconds: of two
    news of one target, the later one holds.
    """

    target: str
    state: TargetState
    observed: int


class FencedUpdate(msgspec.Struct, frozen=True, array_like=True, tag='f'):
    """An instance's lease was taken; ``incarnation`` is that of the lease."""

    instance: str
    incarnation: str


Update = MemberUpdate | ConfigurationUpdate | TargetUpdate | FencedUpdate


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='P'):
    """Ask a member whether it is there.

    ``reply_to`` is the address that the ``Ack`` goes to. ``attempt`` 1 says
    that the answer to attempt 0 did not come. ``introduce`` asks for news of
    the answering member itself. ``known`` counts the members that the sender
    has heard of, ``unheard`` those that it knows from the list only.
    """

    sequence: int
    sender: str
    reply_to: str
    attempt: int
    introduce: bool
    confirmed: int
    unconfirmed: int
    updates: list[msgspec.Raw] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='A'):
    """Answer a ping; ``sequence`` is that of the ping."""

    sequence: int
    sender: str
    updates: list[msgspec.Raw] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag='R'):
    """Ask a third member to ping ``address`` and pass the answer back."""

    sequence: int
    sender: str
    reply_to: str
    instance: str
    address: str
    updates: list[msgspec.Raw] = []


class Notice(msgspec.Struct, frozen=True, array_like=True, tag='N'):
    """Tell news that cannot wait for the next ping; no answer is due."""

    sender: str
    updates: list[msgspec.Raw] = []


Message = Ping | Ack | PingRequest | Notice


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """What goes over the wire; ``time`` is the sender's hybrid time."""

    time: int
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_PACKET_DECODER = msgspec.msgpack.Decoder(Packet)
_NEWS_DECODER = msgspec.msgpack.Decoder(Update)


def encode_packet(packet: Packet) -> bytes:
    """Return a packet's bytes on the wire."""
    return _ENCODER.encode(packet)


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet in a received message; ``None`` if malformed."""
    try:
        return _PACKET_DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def encode_update(news: Update) -> msgspec.Raw:
    """Return news as it stands in a packet."""
    return msgspec.Raw(_ENCODER.encode(news))


def decode_updates(encoded: typing.Iterable[msgspec.Raw]) -> list[Update]:
    """Return the news that this version understands.

    During a rolling upgrade newer instances may send kinds of news that this
    one does not know. They are passed over one by one: refusing the whole
    packet would lose the ack in it and make a live member look failed.
    """
    found = []
    for raw in encoded:
        try:
            found.append(_NEWS_DECODER.decode(raw))
        except msgspec.DecodeError:
            continue
    return found
