"""What the gateway needs of whoever knows the words on the wire."""

import abc
import typing

from vanillayoke.gateway import messages
from vanillayoke.transport import client
from vanillayoke.transport import headers
from vanillayoke.transport import server


class BadCallError(Exception):
    """A request lacks what every request must carry, or spoils it."""


class BadRowError(Exception):
    """A row or an answer of the store can't be understood."""


class StoreRequest(typing.NamedTuple):
    """A request to the store; ``target`` is the path with its query."""

    method: bytes
    target: bytes
    body: bytes = b''


class Lookup(typing.NamedTuple):
    """The host that a caller asks addresses for, and where the caller is."""

    name: str
    region: str
    zone: str


class Dialect(abc.ABC):
    """Decodes and encodes what goes over the wire; it decides nothing."""

    # Tables that others write and the gateway follows, with the key of the
    # configuration's row in its table.
    configuration_table: str
    configuration_key: str
    target_table: str
    ready_path: str
    lookup_path: str

    @abc.abstractmethod
    def decode_call(self, request: server.Request) -> messages.Call:
        """Return a caller's request; raise ``BadCallError``."""

    @abc.abstractmethod
    def encode_call(
        self, call: messages.Call, sending: messages.ForwardOptions
    ) -> headers.Headers:
        """Return the fields that go to a target."""

    @abc.abstractmethod
    def decode_answer(self, head: client.Head) -> messages.ResponseMetadata:
        """Return what the head of a target's answer says."""

    @abc.abstractmethod
    def encode_retry_after(self, seconds: float) -> headers.Headers:
        """Return the fields that tell a caller when to come again."""

    @abc.abstractmethod
    def decode_lookup(self, request: server.Request) -> Lookup:
        """Return what a caller wants addresses for."""

    @abc.abstractmethod
    def encode_addresses(self, addresses: list[str], lifetime: float) -> bytes:
        """Return the body that answers a lookup."""

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> messages.Configuration:
        """Return a configuration row; raise ``BadRowError``."""

    @abc.abstractmethod
    def decode_target(self, key: str, value: bytes) -> messages.Target:
        """Return a target's row; raise ``BadRowError``."""

    @abc.abstractmethod
    def encode_transaction(
        self, transaction: messages.Transaction
    ) -> StoreRequest:
        """Return the request that carries a transaction."""

    @abc.abstractmethod
    def decode_outcome(
        self, status: int, body: bytes
    ) -> messages.Committed | messages.Conflict:
        """Return how a transaction ended; raise ``BadRowError``."""

    @abc.abstractmethod
    def encode_read(
        self, table: str, part: str, start: str, end: str | None
    ) -> StoreRequest:
        """Return the request for rows of a part from ``start`` to ``end``."""

    @abc.abstractmethod
    def encode_probe(self, part: str) -> StoreRequest:
        """Return the cheapest request that shows that a part answers."""

    @abc.abstractmethod
    def encode_follow(
        self, table: str, after: int, wait: float
    ) -> StoreRequest:
        """Return the request for changes of a table behind a version."""

    @abc.abstractmethod
    def decode_page(self, body: bytes) -> messages.Page:
        """Return the rows in an answer; raise ``BadRowError``."""
