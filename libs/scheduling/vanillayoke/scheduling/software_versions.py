"""The software versions that the targets of each service had recently.

If a service had one version for as long as a stream can last, that version
began every stream that may still be resumed. Versions have no order.
"""

import collections
import typing

# An unchanged table is confirmed every two and a half seconds. With older news
# the targets of a new version may be in use elsewhere.
MAX_NEWS_AGE_SECONDS = 3.0
# Targets that start and leave take longer, as they drain before they leave.
MAX_GAP_SECONDS = 5.0
# Longer than any stream lasts.
RETENTION_SECONDS = 600.0


class SoftwareVersions:
    """A record of versions, for the time that the targets were followed.

    Times are in seconds.
    """

    def __init__(self) -> None:
        # Whether no stream had begun when the record started.
        self._is_whole = False
        self._first_read_at: float | None = None
        self._followed_since = float('inf')
        self._news_at = float('-inf')
        # When a target of each version was last in use, by service.
        self._used_at: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        # The services of each route, and when these last changed.
        self._destinations: dict[str, typing.Hashable] = {}
        self._rerouted_at: dict[str, float] = {}

    def record_first_start(self) -> None:
        """Record that no stream has begun before this."""
        self._is_whole = True
        if self._followed_since == self._first_read_at:
            self._followed_since = float('-inf')

    def record_read(self, now: float) -> None:
        """Record that the present targets were read, without the changes."""
        if self._first_read_at is None:
            self._first_read_at = now
            self._followed_since = float('-inf') if self._is_whole else now
        elif now - self._news_at > MAX_GAP_SECONDS:
            self._followed_since = now
        self._news_at = now

    def record_news(self, now: float) -> None:
        """Record that all changes of the targets until now are known."""
        self._news_at = now

    def record_missed(self, now: float) -> None:
        """Record that a target has come and gone, its version unknown."""
        self._followed_since = now

    def record_use(self, service: str, version: str, now: float) -> None:
        """Record that a target of a version was in use until now."""
        self._used_at[service][version] = now

    def record_routes(
        self, destinations: typing.Mapping[str, typing.Hashable], now: float
    ) -> None:
        """Record the services that each route leads to."""
        if self._destinations:
            for route, destination in destinations.items():
                if self._destinations.get(route) != destination:
                    self._rerouted_at[route] = now
        self._destinations = dict(destinations)

    def get_news_age(self, now: float) -> float:
        """Return the seconds since the last news, infinite without any."""
        return now - self._news_at

    def list_versions(
        self,
        route: str,
        service: str,
        present: typing.Iterable[str],
        window: float,
        now: float,
    ) -> frozenset[str] | None:
        """Return all versions that a service had within ``window``.

        ``present`` has the versions of the present targets. Return ``None`` if
        the news is too old, or if ``list_known`` can't tell.
        """
        if now - self._news_at > MAX_NEWS_AGE_SECONDS:
            return None
        return self.list_known(route, service, present, window, now)

    def list_known(
        self,
        route: str,
        service: str,
        present: typing.Iterable[str],
        window: float,
        now: float,
    ) -> frozenset[str] | None:
        """Return the versions within ``window`` up to the last news.

        Return ``None`` if the record does not cover the time, or if the route
        did not lead to the service all the time.
        """
        since = now - window
        if (
            self._followed_since > since
            or self._rerouted_at.get(route, float('-inf')) > since
        ):
            return None
        used_at = self._used_at.get(service, {})
        recent = (version for version, at in used_at.items() if at > since)
        return frozenset((*present, *recent))

    def prune(self, now: float) -> None:
        """Forget what no stream can depend on any more."""
        cutoff = now - RETENTION_SECONDS
        for service, used_at in list(self._used_at.items()):
            recent = {v: at for v, at in used_at.items() if at > cutoff}
            if recent:
                self._used_at[service] = recent
            else:
                del self._used_at[service]
        self._rerouted_at = {
            route: at for route, at in self._rerouted_at.items() if at > cutoff
        }
