"""Which targets keep which shared prefixes in their memory.

The load that this answers: prompts begin with one of a few long parts that
many programs share, and an engine's memory holds little more than all of
them beside its running requests. Where every engine gets every part, turns
push the rarer ones out, and each is read again for nearly as long as its
answer takes; the longer turns take, the more of them run, and the less
memory is left for the parts. So each part has an order of engines in each
zone, the same for all instances, and goes to the first of them that is not
crowded: as many engines hold it as its load needs.

Where memory is ample the order matters little, and less is given up for it.
"""

import collections
import typing

import xxhash

# Prefixes that nobody used for so long count no more. Seconds.
MEMORY = 20.0
# What each step down the order costs where the prefixes seen would fill the
# whole memory, as a share of a turn's time on an idle target. A part that has
# to be read takes about half as long as its answer, and all requests of the
# engine wait for it; with half the step the next engines read parts that the
# first still had room for.
STEP = 0.6
# The most that a prompt's own part is worth where it is held, in the same
# unit: what has to be read again for it, and pushes others out of memory.
MOST_OWN = 1.0
# Behind so many engines one is as bad as another.
MAX_RANK = 3


class SharedPrefix(typing.NamedTuple):
    """The part of a prompt that other programs begin with too."""

    name: str
    tokens: int


def get_shared_prefix(
    parts: typing.Sequence[tuple[str, int]],
) -> SharedPrefix | None:
    """Return the part that a prompt shares, from its parts in order.

    The last part is the request's or its session's own.
    """
    return SharedPrefix(*parts[0]) if len(parts) > 1 else None


def estimate_affinity_value(
    parts: typing.Sequence[tuple[str, int]], capacity: int, slots: int
) -> float:
    """Return what a prompt's own part is worth at the target that holds it.

    Measured by the memory that each of an engine's requests has for itself:
    engines are built for prompts of about that size.
    """
    if capacity <= 0:
        return 0.0
    tokens = sum(count for _, count in parts[1:])
    return min(MOST_OWN, tokens * slots / capacity)


class RecentPrefixes:
    """The shared prefixes of one service that were seen of late."""

    def __init__(self) -> None:
        self._seen: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def record(self, shared: SharedPrefix, now: float) -> None:
        """Take that a request begins with a prefix."""
        known = self._seen.pop(shared.name, None)
        if known is not None:
            self._tokens -= known[0]
        self._seen[shared.name] = shared.tokens, now
        self._tokens += shared.tokens
        while self._seen:
            tokens, at = next(iter(self._seen.values()))
            if now - at < MEMORY:
                break
            self._seen.popitem(last=False)
            self._tokens -= tokens

    def get_rank_cost(self, capacity: int) -> float:
        """Return what a step down the order costs now.

        ``capacity`` is an engine's memory in tokens; 0 if it has none.
        """
        if capacity <= 0:
            return 0.0
        return STEP * min(1.0, self._tokens / capacity)


def rank_targets(shared: str, targets: typing.Iterable[str]) -> list[str]:
    """Return the targets in the order in which they hold a prefix."""
    seed = xxhash.xxh3_64_intdigest(shared.encode())
    return sorted(
        targets,
        key=lambda one: xxhash.xxh3_64_intdigest(one.encode(), seed),
    )
