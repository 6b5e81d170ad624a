"""Distribution of shared prompt prefixes over the caches of engines.

Many programs share a few long prompt prefixes. If every engine gets requests
with every prefix, the rarer ones are evicted from the cache and computed
again for each request. Rendezvous hashing therefore gives each prefix an
order of engines, which is the same for all instances. Requests prefer
engines of low rank, and use further ones only as the load requires.

The cost of a rank is lower if the cache has room for all prefixes.
"""

import collections
import typing

import xxhash

RETENTION_SECONDS = 20.0
# Cost of one rank if the recent prefixes would fill the whole cache, relative
# to the duration of a turn on an idle target. Reading a prefix takes about
# half as long as its response, and all requests of the engine wait for it.
# With half this cost, further engines read prefixes that the first one had
# room for.
MAX_RANK_COST = 0.6
# In the same unit as the rank cost. Without the cached prompt the target has
# to read it again, which displaces others from its cache.
MAX_AFFINITY_VALUE = 1.0
# Higher ranks cost the same.
MAX_RANK = 3


class SharedPrefix(typing.NamedTuple):
    """The first part of a prompt, which prompts of other programs share."""

    name: str
    tokens: int


def get_shared_prefix(
    parts: typing.Sequence[tuple[str, int]],
) -> SharedPrefix | None:
    """Return the shared part of a prompt, given names and sizes of its parts.

    The last part belongs to the request or its session alone, so a prompt
    with a single part shares nothing.
    """
    return SharedPrefix(*parts[0]) if len(parts) > 1 else None


def estimate_affinity_value(
    parts: typing.Sequence[tuple[str, int]], capacity: int, slots: int
) -> float:
    """Return the value of placing a request where its prompt is cached.

    It is the size of the prompt without its shared prefix, relative to the
    cache capacity per slot, which is about the prompt size that an engine is
    configured for.
    """
    if capacity <= 0:
        return 0.0
    tokens = sum(count for _, count in parts[1:])
    return min(MAX_AFFINITY_VALUE, tokens * slots / capacity)


class RecentPrefixes:
    """The shared prefixes of one service within ``RETENTION_SECONDS``."""

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def record(self, prefix: SharedPrefix, now: float) -> None:
        """Record that a request begins with a shared prefix."""
        previous = self._prefixes.pop(prefix.name, None)
        if previous is not None:
            self._tokens -= previous[0]
        self._prefixes[prefix.name] = prefix.tokens, now
        self._tokens += prefix.tokens
        while self._prefixes:
            tokens, at = next(iter(self._prefixes.values()))
            if now - at < RETENTION_SECONDS:
                break
            self._prefixes.popitem(last=False)
            self._tokens -= tokens

    def get_rank_cost(self, capacity: int) -> float:
        """Return the present cost of each rank.

        ``capacity`` is the size of an engine's cache in tokens; 0 if it has
        none.
        """
        if capacity <= 0:
            return 0.0
        return MAX_RANK_COST * min(1.0, self._tokens / capacity)


def rank_targets(prefix: str, targets: typing.Iterable[str]) -> list[str]:
    """Return the targets in the order of rendezvous hashing for a prefix."""
    seed = xxhash.xxh3_64_intdigest(prefix.encode())
    return sorted(
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(target.encode(), seed),
    )
