"""What membership is told, and what it answers to be done."""

import typing

from vanillayoke.cluster import messages


class Ticked(typing.NamedTuple):
    """The time that ``Membership.next_wake`` gave has come."""


class Received(typing.NamedTuple):
    """A message came from another instance."""

    message: messages.Message


class Listed(typing.NamedTuple):
    """The platform's list was read; members are of incarnation 0."""

    members: tuple[messages.Member, ...]


class Added(typing.NamedTuple):
    """One member more stands in the platform's list, of incarnation 0."""

    member: messages.Member


class Removed(typing.NamedTuple):
    """An instance stands in the platform's list no more."""

    instance: str


class Published(typing.NamedTuple):
    """This instance has news for the others."""

    update: messages.Update


class Leaving(typing.NamedTuple):
    """This instance begins to drain."""


class Departed(typing.NamedTuple):
    """This instance stops now."""


Event = (
    Ticked
    | Received
    | Listed
    | Added
    | Removed
    | Published
    | Leaving
    | Departed
)


class Send(typing.NamedTuple):
    """Send a message to a peer address."""

    address: str
    message: messages.Message


class Reconnect(typing.NamedTuple):
    """Drop the connection to a peer address, since it may be silent."""

    address: str


class MemberChanged(typing.NamedTuple):
    """A member joined or changed its state."""

    before: messages.Member | None
    after: messages.Member


class UpdateLearned(typing.NamedTuple):
    """News other than of members came or was published."""

    update: messages.Update


class Refuted(typing.NamedTuple):
    """Others held this instance for suspected or failed."""

    incarnation: int


Action = Send | Reconnect | MemberChanged | UpdateLearned | Refuted
