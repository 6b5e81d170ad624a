"""Expected sizes of responses, by any key."""

import collections
import typing

# Where small and large responses are mixed, a request is expected to have a
# small one: only a request whose response is certainly large is refused early.
WINDOW_RESPONSES = 8
# Kept for this number of keys, the most recently used ones.
MAX_KEYS = 1000


class ResponseSizes:
    """The sizes of the most recent responses in bytes, by key."""

    def __init__(self) -> None:
        self._recent: collections.OrderedDict[
            typing.Hashable, collections.deque[int]
        ] = collections.OrderedDict()

    def learn(self, key: typing.Hashable, size: int) -> None:
        """Add the size of a response."""
        recent = self._recent.get(key)
        if recent is None:
            recent = collections.deque(maxlen=WINDOW_RESPONSES)
            self._recent[key] = recent
        recent.append(size)
        self._recent.move_to_end(key)
        if len(self._recent) > MAX_KEYS:
            self._recent.popitem(last=False)

    def estimate(self, key: typing.Hashable) -> int:
        """Return the least of the recent sizes, 0 if they are unknown."""
        recent = self._recent.get(key)
        return min(recent) if recent else 0
