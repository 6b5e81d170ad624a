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


class MemberNews(msgspec.Struct, frozen=True, array_like=True, tag='m'):
    """A member changed its state."""

    member: Member


class ConfigurationNews(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """An instance has seen an accepted configuration of this version."""

    version: int


class TargetState(enum.IntEnum):
    """What an instance found out about a target."""

    RECOVERED = 0
    LEAVING = 1
    FAILED = 2


class TargetNews(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """A target leaves, failed or is back.

    ``observed`` is the observer's hybrid time in wall milliseconds: of two
    news of one target, the later one holds.
    """

    target: str
    state: TargetState
    observed: int


class FencedNews(msgspec.Struct, frozen=True, array_like=True, tag='f'):
    """Another instance took over from this holder of a lease.

    ``incarnation`` is that of the fenced lease; a later one is not meant.
    """

    instance: str
    incarnation: int


News = MemberNews | ConfigurationNews | TargetNews | FencedNews


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='P'):
    """Ask a member whether it is there.

    ``reply_to`` is the address that the ``Ack`` goes to.
    """

    sequence: int
    sender: str
    reply_to: str
    news: list[News] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='A'):
    """Answer a ping; ``sequence`` is that of the ping."""

    sequence: int
    sender: str
    news: list[News] = []


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag='R'):
    """Ask a third member to ping ``address`` and pass the answer back."""

    sequence: int
    sender: str
    reply_to: str
    address: str
    news: list[News] = []


Message = Ping | Ack | PingRequest

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return a message's bytes on the wire."""
    return _ENCODER.encode(message)


def decode_message(packet: bytes) -> Message | None:
    """Return the message in a packet; ``None`` where it is malformed."""
    try:
        return _DECODER.decode(packet)
    except msgspec.DecodeError:
        return None


def measure_news(news: News) -> int:
    """Return the bytes that one piece of news takes in a packet."""
    return len(_ENCODER.encode(news))
