"""Which instance should own a shard: rendezvous hashing over the members.

Each member has a score for each shard and the highest score wins. When a
member goes, only its shards move, spread over all that are left; so a whole
zone's shards spread over the other zones' members alike.
"""

import typing

import xxhash

from vanillayoke.core import ids

WATCHERS_PER_LEASE = 2
_DRAWS_PER_WATCHER = 16
_SHARD_KEYS = tuple(
    shard.to_bytes(2, 'little') for shard in range(ids.SHARD_COUNT)
)


def score_shards(name: str) -> list[int]:
    """Return a member's score for each shard, alike on all instances."""
    digest = xxhash.xxh3_64_intdigest
    seed = digest(name.encode())
    return [digest(key, seed) for key in _SHARD_KEYS]


class ShardMap:
    """The desired owner of each shard, kept up as members come and go.

    Scores are kept while a member is there, and a change only looks at
    the shards that it can move: 400 members are scored once, not at each
    change.
    """

    def __init__(self) -> None:
        self._scores: dict[str, list[int]] = {}
        self._owners: list[str] = [''] * ids.SHARD_COUNT

    @property
    def members(self) -> frozenset[str]:
        """Return the members that shards are spread over."""
        return frozenset(self._scores)

    def find_owner(self, shard: ids.Shard) -> str:
        """Return a shard's desired owner, '' while there is no member."""
        return self._owners[shard]

    def list_shards(self, name: str) -> list[ids.Shard]:
        """Return the shards whose desired owner is a member."""
        return [
            ids.Shard(shard)
            for shard, owner in enumerate(self._owners)
            if owner == name
        ]

    def list_watchers(
        self, incarnation: str, name: str, count: int = WATCHERS_PER_LEASE
    ) -> list[str]:
        """Return the members that watch an incarnation's lease.

        They are the owners of some shards drawn for the incarnation, so
        that this costs a few look-ups whatever the number of members; the
        watched instance itself is left out.
        """
        found: list[str] = []
        for draw in range(count * _DRAWS_PER_WATCHER):
            drawn = ids.hash_key('watch', incarnation, str(draw))
            member = self._owners[drawn % ids.SHARD_COUNT]
            if member and member != name and member not in found:
                found.append(member)
            if len(found) == count:
                break
        return found

    def update(self, names: typing.Iterable[str]) -> int:
        """Take over the set of members; return how many shards move."""
        wanted = frozenset(names)
        before = list(self._owners)
        for name in sorted(self.members - wanted):
            del self._scores[name]
        self._reassign(wanted)
        for name in sorted(wanted - self.members):
            self._add(name)
        pairs = zip(before, self._owners, strict=True)
        return sum(old != new for old, new in pairs)

    def _reassign(self, wanted: frozenset[str]) -> None:
        for shard, owner in enumerate(self._owners):
            if owner and owner not in wanted:
                self._owners[shard] = self._find_best(shard)

    def _find_best(self, shard: int) -> str:
        scores = self._scores
        return max(
            scores,
            key=lambda name: (scores[name][shard], name),
            default='',
        )

    def _add(self, name: str) -> None:
        added = score_shards(name)
        self._scores[name] = added
        for shard, owner in enumerate(self._owners):
            if not owner:
                self._owners[shard] = name
                continue
            held = (self._scores[owner][shard], owner)
            if (added[shard], name) > held:
                self._owners[shard] = name
