"""The interface between the gateway and a platform's wire format."""

import abc
import typing

from vanillayoke.core import decoding
from vanillayoke.gateway import messages
from vanillayoke.transport import client
from vanillayoke.transport import headers
from vanillayoke.transport import server


class BadCallError(Exception):
    """A request lacks a required header field, or a field is invalid."""


class BadRowError(Exception):
    """A row or a response of the store is invalid."""

    def __init__(
        self,
        detail: str,
        reason: decoding.Reason = decoding.Reason.INVALID,
    ) -> None:
        super().__init__(detail)
        self.reason = reason


class StoreRequest(typing.NamedTuple):
    """A request to the store; ``target`` is the path with its query."""

    method: bytes
    target: bytes
    body: bytes = b''


class Lookup(typing.NamedTuple):
    """The host name that a caller looks up, and the caller's location."""

    name: str
    region: str
    zone: str


class Dialect(abc.ABC):
    """Encodes and decodes the messages of a platform.

    The gateway watches ``configuration_table``, where the configuration is
    the row ``configuration_key``, and ``target_table``; others write them.
    """

    configuration_table: str
    configuration_key: str
    target_table: str
    ready_path: str
    lookup_path: str
    # A request that a target answers without a free slot.
    report_path: str

    @abc.abstractmethod
    def decode_call(self, request: server.Request) -> messages.Call:
        """Decode a caller's request; raise ``BadCallError`` if invalid."""

    @abc.abstractmethod
    def encode_call(
        self, call: messages.Call, options: messages.ForwardOptions
    ) -> headers.Headers:
        """Return the header fields to send to a target."""

    @abc.abstractmethod
    def decode_answer(self, head: client.Head) -> messages.ResponseMetadata:
        """Return the metadata in the header of a target's response."""

    @abc.abstractmethod
    def encode_check(self, target: messages.Target) -> headers.Headers:
        """Return the header fields of a check of a target's process."""

    @abc.abstractmethod
    def encode_retry_after(self, seconds: float) -> headers.Headers:
        """Return the header fields that ask a caller to retry later."""

    @abc.abstractmethod
    def decode_lookup(self, request: server.Request) -> Lookup:
        """Decode an address lookup; raise ``BadCallError`` if invalid."""

    @abc.abstractmethod
    def encode_addresses(self, addresses: list[str], ttl: float) -> bytes:
        """Return the response body for an address lookup.

        ``ttl`` is how long the addresses are valid, in seconds.
        """

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> messages.Configuration:
        """Decode a configuration row; raise ``BadRowError`` if invalid."""

    @abc.abstractmethod
    def decode_target(self, key: str, value: bytes) -> messages.Target:
        """Decode a target's row; raise ``BadRowError`` if invalid."""

    @abc.abstractmethod
    def encode_transaction(
        self, transaction: messages.Transaction
    ) -> StoreRequest:
        """Return the store request for a transaction."""

    @abc.abstractmethod
    def decode_outcome(
        self, status: int, body: bytes
    ) -> messages.Committed | messages.Conflict:
        """Decode a transaction's outcome; raise ``BadRowError`` if invalid."""

    @abc.abstractmethod
    def encode_read(
        self, table: str, part: str, start: str, end: str | None
    ) -> StoreRequest:
        """Return the request to read a partition from ``start`` to ``end``."""

    @abc.abstractmethod
    def encode_probe(self, part: str) -> StoreRequest:
        """Return the request for a health check of a partition."""

    @abc.abstractmethod
    def encode_follow(
        self, table: str, after: int, wait: float
    ) -> StoreRequest:
        """Return the request for changes of a table since a version.

        ``wait`` is how long the store may hold the request, in seconds.
        """

    @abc.abstractmethod
    def decode_page(self, body: bytes) -> messages.Page:
        """Decode a page of rows; raise ``BadRowError`` if invalid."""
