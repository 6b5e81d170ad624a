"""Messages between the HTTP adapters and the platform's services.

All are sent as JSON; ``bytes`` fields are base64 there. Each value of the
ports has a message with the same fields in the same order.
"""

import typing

import msgspec

from vanillayoke.platform import ports


class RowMessage(msgspec.Struct, frozen=True):
    """A row of the table service."""

    key: str
    value: bytes
    version: int
    write_id: str


class PutMessage(msgspec.Struct, frozen=True, tag='put'):
    """A write of a row."""

    key: str
    value: bytes
    expected: int | None


class DeleteMessage(msgspec.Struct, frozen=True, tag='delete'):
    """A deletion of a row."""

    key: str
    expected: int | None


class TransactionMessage(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all."""

    write_id: str
    writes: tuple[PutMessage | DeleteMessage, ...]


class CommittedMessage(msgspec.Struct, frozen=True):
    """The transaction took effect; maps keys to new versions."""

    versions: dict[str, int]


class ConflictMessage(msgspec.Struct, frozen=True):
    """The transaction changed nothing since a key had another version."""

    key: str


class RefusalMessage(msgspec.Struct, frozen=True):
    """The service could not do it; ``applied`` false proves no effect."""

    applied: bool
    reason: str = ''


class WeightMessage(msgspec.Struct, frozen=True):
    """A weight set with its size in bytes."""

    name: str
    version: str
    size: int


class InstanceMessage(msgspec.Struct, frozen=True):
    """An instance as the platform lists it."""

    instance: str
    peer_address: str
    entry_address: str
    zone: str
    region: str
    leaving: bool = False


_MESSAGES: dict[type, type[msgspec.Struct]] = {
    ports.Row: RowMessage,
    ports.Put: PutMessage,
    ports.Delete: DeleteMessage,
    ports.Committed: CommittedMessage,
    ports.Conflict: ConflictMessage,
    ports.WeightSet: WeightMessage,
    ports.ListedInstance: InstanceMessage,
}
_VALUES = {message: value for value, message in _MESSAGES.items()}


def encode(value: typing.Any) -> bytes:
    """Encode a value of the ports, a list of them, or a plain value."""
    if isinstance(value, list):
        return msgspec.json.encode([_to_message(item) for item in value])
    return msgspec.json.encode(_to_message(value))


def decode(blob: bytes, value_type: type) -> typing.Any:
    """Decode a value of the ports, a list of them, or a plain value.

    Raises ``msgspec.DecodeError`` where the blob holds anything else.
    """
    if typing.get_origin(value_type) is list:
        (item_type,) = typing.get_args(value_type)
        message_type = _MESSAGES.get(item_type, item_type)
        items = msgspec.json.decode(blob, type=list[message_type])
        return [_from_message(item) for item in items]
    message_type = _MESSAGES.get(value_type, value_type)
    return _from_message(msgspec.json.decode(blob, type=message_type))


def encode_transaction(
    write_id: str, writes: typing.Sequence[ports.Put | ports.Delete]
) -> bytes:
    """Encode a transaction for the table service."""
    sent = tuple(_to_message(write) for write in writes)
    return msgspec.json.encode(TransactionMessage(write_id, sent))


def decode_transaction(
    blob: bytes,
) -> tuple[str, list[ports.Put | ports.Delete]]:
    """Decode to write id and writes; raises ``msgspec.DecodeError``."""
    message = msgspec.json.decode(blob, type=TransactionMessage)
    return message.write_id, [_from_message(it) for it in message.writes]


def _to_message(value: typing.Any) -> typing.Any:
    message_type = _MESSAGES.get(type(value))
    return value if message_type is None else message_type(*value)


def _from_message(message: typing.Any) -> typing.Any:
    value_type = _VALUES.get(type(message))
    if value_type is None:
        return message
    return value_type(*msgspec.structs.astuple(message))
