"""The other instances, as membership and the table together show them."""

import typing

from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.cluster import shards
from vanillayoke.core import ids
from vanillayoke.node import watcher

WATCHERS_PER_LEASE = 2
_EXPECTED = frozenset((messages.State.ALIVE, messages.State.SUSPECTED))
_CALM = frozenset((messages.State.ALIVE, messages.State.LEFT))


class Neighbours:
    """Who should own what, who watches whom, and who is in doubt.

    An instance counts as an owner while membership expects it and the table
    has a live row of it.
    """

    def __init__(self, me: rows.InstanceRow, known: watcher.Watcher) -> None:
        self._me = me
        self._watcher = known
        self._members: dict[str, messages.Member] = {}
        self._map = shards.ShardMap()
        self._is_leaving = False

    @property
    def count(self) -> int:
        """Return how many instances share the work, with this one."""
        return len(self._map.members | {self._me.name})

    def update(self, members: typing.Iterable[messages.Member]) -> None:
        """Take over what membership says."""
        self._members = {member.instance: member for member in members}
        self.update_map()

    def leave(self) -> None:
        """Count this instance as an owner no more."""
        self._is_leaving = True
        self.update_map()

    def update_map(self) -> None:
        """Take over what has changed in the table's rows."""
        owners = {
            name
            for name, member in self._members.items()
            if member.state in _EXPECTED
            and self._watcher.find_live(name) is not None
        }
        owners.discard(self._me.name)
        if not self._is_leaving:
            owners.add(self._me.name)
        self._map.update(owners)

    def list_unknown(self) -> list[str]:
        """Return expected instances that no live row is known of."""
        return [
            name
            for name, member in self._members.items()
            if member.state in _EXPECTED
            and name != self._me.name
            and self._watcher.find_live(name) is None
        ]

    def list_own_shards(self) -> list[ids.Shard]:
        """Return the shards that this instance should own."""
        return self._map.list_shards(self._me.name)

    def find_heir(self, shard: ids.Shard) -> str | None:
        """Return the incarnation that should own a shard, if there is one."""
        return self._find_incarnation(self._map.find_owner(shard))

    def find_better_owner(self, shard: ids.Shard) -> str | None:
        """Return who should have a shard of this instance's instead of it.

        Only an instance that membership holds for alive gets a shard.
        """
        name = self._map.find_owner(shard)
        member = self._members.get(name)
        if member is None or name == self._me.name:
            return None
        if member.state is not messages.State.ALIVE:
            return None
        return self._find_incarnation(name)

    def _find_incarnation(self, name: str) -> str | None:
        if name == self._me.name:
            return self._me.incarnation
        live = self._watcher.find_live(name)
        return live.incarnation if live else None

    def list_watched(self) -> list[str]:
        """Return the incarnations whose leases are watched from here."""
        return [
            incarnation
            for incarnation, known in self._watcher.known.items()
            if not known.row.state.is_final
            and self._watches(incarnation, known.row)
        ]

    def _watches(self, incarnation: str, watched: rows.InstanceRow) -> bool:
        # An instance that restarted does watch its earlier incarnation.
        is_current = self._find_incarnation(watched.name) == incarnation
        left_out = watched.name if is_current else ''

        def is_well(name: str) -> bool:
            return name != left_out and self._is_well(name)

        def is_far(name: str) -> bool:
            return is_well(name) and self._find_zone(name) != watched.zone

        # A watcher that dies together with the one it watches is of no
        # use: its place is taken a suspicion later at best.
        chosen = self._map.draw_members(
            incarnation, WATCHERS_PER_LEASE, is_far
        )
        if len(chosen) < WATCHERS_PER_LEASE:
            chosen += self._map.draw_members(
                incarnation, WATCHERS_PER_LEASE, is_well
            )
        return self._me.name in chosen

    def _is_well(self, name: str) -> bool:
        if name == self._me.name:
            return True
        member = self._members.get(name)
        return member is not None and member.state is messages.State.ALIVE

    def _find_zone(self, name: str) -> str:
        if name == self._me.name:
            return self._me.zone
        return self._members[name].zone

    def cleans(self, incarnation: str) -> bool:
        """Tell whether this instance clears a dead one's journal away."""
        chosen = self._map.draw_members(incarnation, 1, self._is_well)
        return self._me.name in chosen

    def is_in_doubt(self, incarnation: str) -> bool:
        """Tell whether membership holds an incarnation for other than well."""
        known = self._watcher.known[incarnation]
        member = self._members.get(known.row.name)
        return member is None or member.state not in _CALM

    @property
    def is_calm(self) -> bool:
        """Tell whether membership holds all instances for well or gone."""
        return all(one.state in _CALM for one in self._members.values())
