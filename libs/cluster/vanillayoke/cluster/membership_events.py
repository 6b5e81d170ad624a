"""The events that membership handles, and the actions that it returns."""

import typing

from vanillayoke.cluster import messages


class Ticked(typing.NamedTuple):
    """The time returned by ``Membership.next_wake`` is reached."""


class Received(typing.NamedTuple):
    """A message of another instance was received."""

    message: messages.Message


class Listed(typing.NamedTuple):
    """The platform's list of instances was read.

    The members have incarnation 0.
    """

    members: tuple[messages.Member, ...]


class Added(typing.NamedTuple):
    """A member, of incarnation 0, was added to the platform's list."""

    member: messages.Member


class Removed(typing.NamedTuple):
    """An instance was removed from the platform's list."""

    instance: str


class Published(typing.NamedTuple):
    """This instance publishes an update."""

    update: messages.Update


class Leaving(typing.NamedTuple):
    """This instance starts to drain."""


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
    """Replace the connection to a peer, which may be unresponsive."""

    address: str


class MemberChanged(typing.NamedTuple):
    """A member joined or changed its state."""

    before: messages.Member | None
    after: messages.Member


class UpdateLearned(typing.NamedTuple):
    """An update other than of a member was received or published."""

    update: messages.Update


class Refuted(typing.NamedTuple):
    """A suspicion or failure of this instance was refuted."""

    incarnation: int


Action = Send | Reconnect | MemberChanged | UpdateLearned | Refuted
