"""Which instances are there, and which one owns a shard."""

from vanillayoke.cluster import messages
from vanillayoke.node import members
from vanillayoke.node import ownership

_USABLE = frozenset((messages.State.ALIVE,))
_ANSWERING = frozenset(
    (
        messages.State.ALIVE,
        messages.State.LEAVING,
        messages.State.SUSPECTED,
    )
)


class Directory:
    """Membership and ownership as routing needs them.

    A suspected member is not named to callers any more, though it owns its
    shards until its lease is taken.
    """

    def __init__(
        self, known: members.Members, owned: ownership.Ownership
    ) -> None:
        self._members = known
        self._ownership = owned

    def owner_of(self, shard: int) -> str | None:
        """Return the name of the instance that owns a shard, if known."""
        incarnation = self._ownership.owner_of(shard)
        if incarnation is None:
            return None
        row = self._ownership.find_instance(incarnation)
        return row.name if row else None

    def count_shards(self) -> int:
        """Return how many shards this instance owns."""
        return len(self._ownership.owned_shards())

    def find_member(self, instance: str) -> messages.Member | None:
        """Return a member by its instance's name."""
        for one in self._members.members():
            if one.instance == instance:
                return one
        return None

    def list_members(self) -> list[messages.Member]:
        """Return all members in any state."""
        return self._members.members()

    def list_others(self) -> list[messages.Member]:
        """Return the other members that may answer a question."""
        return [
            one
            for one in self._members.members()[1:]
            if one.state in _ANSWERING
        ]

    def list_usable(self) -> list[messages.Member]:
        """Return the members that callers may use."""
        return [one for one in self._members.members() if one.state in _USABLE]
