"""Which instance should own a shard: rendezvous hashing over the members.

Each member has a score for each shard and the highest score wins. When a
member goes, only its shards move, spread over all that are left; so a whole
zone's shards spread over the other zones' members alike.
"""

import array
import functools
import typing

import xxhash

from vanillayoke.core import ids

_DRAWS_PER_MEMBER = 16
# A member that comes back is not scored again; 32 KiB each.
_CACHED_MEMBERS = 512
_NOBODY = (0, '')
_SHARD_KEYS = tuple(
    shard.to_bytes(2, 'little') for shard in range(ids.SHARD_COUNT)
)


@functools.lru_cache(maxsize=_CACHED_MEMBERS)
def score_shards(name: str) -> array.array:
    """Return a member's score for each shard, alike on all instances."""
    digest = xxhash.xxh3_64_intdigest
    seed = digest(name.encode())
    return array.array('Q', [digest(key, seed) for key in _SHARD_KEYS])


class ShardMap:
    """The desired owner of each shard, kept up as members come and go.

    Scores are kept while a member is there, and a change only looks at
    the shards that it can move: 400 members are scored once, not at each
    change.
    """

    def __init__(self) -> None:
        self._scores: dict[str, array.array] = {}
        self._owners: list[str] = [''] * ids.SHARD_COUNT
        # The scores of the owners, so that most comparisons end at once.
        self._best: list[int] = [0] * ids.SHARD_COUNT

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

    def draw_members(
        self,
        key: str,
        count: int,
        accepts: typing.Callable[[str], bool],
    ) -> list[str]:
        """Return some members for a key, alike on all instances.

        They are the owners of shards drawn for the key, so that this costs
        a few look-ups whatever the number of members. Fewer are returned
        where few are accepted.
        """
        found: list[str] = []
        for draw in range(count * _DRAWS_PER_MEMBER):
            drawn = ids.hash_key('draw', key, str(draw))
            member = self._owners[drawn % ids.SHARD_COUNT]
            if member and member not in found and accepts(member):
                found.append(member)
            if len(found) == count:
                break
        return found

    def update(self, names: typing.Iterable[str]) -> int:
        """Take over the set of members; return how many shards move."""
        wanted = frozenset(names)
        if wanted == self.members:
            return 0
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
                self._best[shard], self._owners[shard] = max(
                    (
                        (scores[shard], name)
                        for name, scores in self._scores.items()
                    ),
                    default=_NOBODY,
                )

    def _add(self, name: str) -> None:
        added = score_shards(name)
        self._scores[name] = added
        best, owners = self._best, self._owners
        pairs = zip(added, best, strict=True)
        for shard, (score, highest) in enumerate(pairs):
            if score < highest:
                continue
            if (score, name) > (highest, owners[shard]):
                best[shard] = score
                owners[shard] = name
