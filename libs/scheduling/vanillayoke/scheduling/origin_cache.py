"""Memory of where streams began, as long as callers may resume them."""

import collections
import typing

# Entries are small; the oldest are dropped beyond this number. Instances of a
# large deployment hold some hundred.
MAX_STREAMS = 10_000

Origin = typing.TypeVar('Origin')


class OriginCache(typing.Generic[Origin]):
    """The origins of recent streams, the newest of each key.

    Times are in seconds.
    """

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._entries: collections.OrderedDict[str, tuple[float, Origin]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, key: str, origin: Origin, now: float, lifetime: float
    ) -> None:
        """Remember an origin for ``lifetime``, or until there are too many."""
        self._entries[key] = now + lifetime, origin
        self._entries.move_to_end(key)
        while len(self._entries) > self._max_streams:
            self._entries.popitem(last=False)

    def find(self, key: str, now: float) -> Origin | None:
        """Return the origin of a key's stream, ``None`` if unknown."""
        expires_at, origin = self._entries.get(key, (now, None))
        return origin if expires_at > now else None

    def prune(self, now: float) -> None:
        """Forget the streams whose lifetime has passed."""
        expired = [
            key
            for key, (expires_at, _) in self._entries.items()
            if expires_at <= now
        ]
        for key in expired:
            del self._entries[key]
