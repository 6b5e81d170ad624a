"""Finds the software version that began a stream which a caller resumes.

A caller may resume at any instance. The instance that sends the first event of
a resumable stream therefore replicates the stream's origin, its service and
software version, to two others. They are in different zones if possible, and
follow from the session of the stream. Nothing is stored: a stream whose origin
is lost with its replicas can't continue, and the caller begins anew.
"""

import asyncio
import math
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import refusals
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import origin_cache
from vanillayoke.scheduling import software_versions

REPLICA_COUNT = 2
# One more than there are replicas, as one of the instances may be new.
QUERY_COUNT = REPLICA_COUNT + 1
# The caller waits for the response; a peer that is busy or gone is not worth
# a large part of the time that the stream has left.
QUERY_TIMEOUTS_SECONDS = (0.02, 0.05)
# A caller's time for a request may be longer than the route's.
LIFETIME_FACTOR = 2.0
LIFETIME_MARGIN_SECONDS = 1.0
# Callers may claim to wait for any time.
MAX_LIFETIME_SECONDS = 600.0


class StreamName(typing.NamedTuple):
    """What identifies a stream among instances.

    ``request`` is the one that began it, empty if the caller that resumes it
    does not say; then it is the newest one of its session. ``session`` names
    the program and the session, and is empty for requests without a program.
    """

    request: str
    session: str

    @property
    def key(self) -> str:
        """What determines the instances with replicas."""
        return self.session or self.request


class Resumptions:
    """Records the origins of streams, and finds those of resumed streams."""

    def __init__(
        self,
        instance: str,
        catalog: catalog_module.Catalog,
        versions: software_versions.SoftwareVersions,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._catalog = catalog
        self._versions = versions
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._log = log
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._by_request: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )
        self._by_session: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )
        self._zones = rendezvous.ZoneRanking()

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def record_begun(
        self,
        stream: StreamName,
        origin: messages.StreamOrigin,
        lifetime: float,
    ) -> None:
        """Record the origin of a stream whose first event is sent now.

        The caller may resume it within ``lifetime`` seconds.
        """
        self._publish(stream, stream.key, origin, lifetime)

    def record_resumed(
        self,
        stream: StreamName,
        origin: messages.StreamOrigin,
        lifetime: float,
    ) -> None:
        """Record again the origin of a stream that a caller has resumed.

        The caller may resume it once more within ``lifetime`` seconds. A named
        stream need not be the newest one of its session.
        """
        named = StreamName(stream.request, '') if stream.request else stream
        self._publish(named, stream.key, origin, lifetime)

    def _publish(
        self,
        stream: StreamName,
        key: str,
        origin: messages.StreamOrigin,
        lifetime: float,
    ) -> None:
        begun = peer_messages.StreamBegun(
            *stream,
            *origin,
            round(1000 * min(lifetime, MAX_LIFETIME_SECONDS)),
        )
        self.receive(begun)
        for peer in self._list_others(key, REPLICA_COUNT):
            self._peers.notify(peer.address, begun)

    def receive(self, begun: peer_messages.StreamBegun) -> None:
        """Record the origin of a stream that began at any instance."""
        origin = messages.StreamOrigin(begun.service, begun.software_version)
        lifetime = begun.lifetime_ms / 1000 + LIFETIME_MARGIN_SECONDS
        now = self._timers.now()
        if begun.request:
            self._by_request.record(begun.request, origin, now, lifetime)
        if begun.session:
            self._by_session.record(begun.session, origin, now, lifetime)

    async def find_origin(
        self, request: str, stream: StreamName, route: messages.Route
    ) -> messages.StreamOrigin:
        """Return the origin of a stream that a caller's request resumes.

        Raise ``RefusalError`` if it is unknown, or if the route no longer
        leads to its service.
        """
        started_at = self._timers.now()
        origin, source = await self._search(stream, route)
        self._record_decision(request, stream, origin, source, started_at)
        services = _list_services(route)
        if origin is None:
            raise refusals.RefusalError(
                refusals.Reason.ORIGIN_UNKNOWN,
                f'stream of {stream.request or "an unnamed request"}'
                f' at any of {sorted(services)}',
            )
        if origin.service not in services:
            raise refusals.RefusalError(
                refusals.Reason.VERSION_GONE,
                f'route {route.name} no longer leads to {origin.service}',
            )
        return origin

    def _record_decision(
        self,
        request: str,
        stream: StreamName,
        origin: messages.StreamOrigin | None,
        source: str,
        started_at: float,
    ) -> None:
        now = self._timers.now()
        news_age = self._versions.get_news_age(now)
        self._metrics.resumed_streams.add(1, source=source)
        if math.isfinite(news_age):
            self._metrics.resumption_news_age.observe(news_age, source=source)
        service, software = origin or (None, None)
        self._log.write(
            log_events.RESUMPTION_DECIDED,
            request=request,
            resumes=stream.request or None,
            session=stream.session or None,
            service=service,
            software=software,
            source=source,
            news_ms=None if math.isinf(news_age) else round(1000 * news_age),
            waited_ms=round(1000 * (now - started_at)),
        )

    async def _search(
        self, stream: StreamName, route: messages.Route
    ) -> tuple[messages.StreamOrigin | None, str]:
        """Return an origin and where it was found."""
        query = _make_query(stream, route)
        own = self._find_recorded(query)
        if own is not None and stream.request:
            return own, 'own_record'
        only_version = self._find_only_version(query)
        responses = await self._query_replicas(stream.key, query)
        recorded = {
            messages.StreamOrigin(*response.origin)
            for response in responses
            if response.origin is not None
        }
        if len(recorded | {own} - {None}) > 1:
            # Some know only an older stream of the session.
            return None, 'unknown'
        if recorded:
            return recorded.pop(), 'peer_record'
        if own is not None and not responses and self._has_others(stream):
            # Others may know a newer stream of the session.
            return None, 'unknown'
        if own is not None:
            return own, 'own_record'
        if only_version is not None:
            return only_version, 'only_version'
        for response in responses:
            if response.only_version is not None:
                service, version = query.service, response.only_version
                return messages.StreamOrigin(service, version), 'peer_version'
        return None, 'unknown'

    def handle_query(
        self, query: peer_messages.OriginQuery
    ) -> peer_messages.StreamOrigin:
        """Respond with what this instance knows of a stream's origin."""
        only_version = self._find_only_version(query)
        return peer_messages.StreamOrigin(
            self._find_recorded(query),
            None if only_version is None else only_version.software_version,
        )

    def prune(self) -> None:
        """Forget streams that callers can't resume any more."""
        now = self._timers.now()
        self._by_request.prune(now)
        self._by_session.prune(now)
        self._versions.prune(now)

    def _find_recorded(
        self, query: peer_messages.OriginQuery
    ) -> messages.StreamOrigin | None:
        now = self._timers.now()
        if query.request:
            return self._by_request.find(query.request, now)
        return self._by_session.find(query.session, now)

    def _find_only_version(
        self, query: peer_messages.OriginQuery
    ) -> messages.StreamOrigin | None:
        version = self._versions.find_only_version(
            query.route,
            query.service,
            {
                target.software_version
                for target in self._catalog.list_targets(query.service)
            },
            query.window_ms / 1000,
            self._timers.now(),
        )
        if version is None:
            return None
        return messages.StreamOrigin(query.service, version)

    async def _query_replicas(
        self, key: str, query: peer_messages.OriginQuery
    ) -> list[peer_messages.StreamOrigin]:
        """Return the responses of instances with replicas.

        The first one that knows the origin of a named stream is enough.
        """
        tasks = [
            asyncio.ensure_future(
                self._peers.send_request(
                    peer.address,
                    query,
                    self._timers.now(),
                    QUERY_TIMEOUTS_SECONDS,
                )
            )
            for peer in self._list_others(key, QUERY_COUNT)
        ]
        responses = []
        try:
            for task in asyncio.as_completed(tasks):
                response = await task
                if not isinstance(response, peer_messages.StreamOrigin):
                    continue
                responses.append(response)
                if response.origin is not None and query.request:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return responses

    def _has_others(self, stream: StreamName) -> bool:
        return bool(self._list_others(stream.key, QUERY_COUNT))

    def _list_others(self, key: str, count: int) -> list[rendezvous.Peer]:
        """Return the instances with replicas except this one."""
        highest = self._zones.list_highest(key, self._list_eligible(), count)
        return [peer for peer in highest if peer.instance != self._instance]


def _list_services(route: messages.Route) -> set[str]:
    """Return the services that requests of a route may go to."""
    return {share.service for share in route.shares if share.weight > 0} or {
        route.shares[0].service
    }


def _make_query(
    stream: StreamName, route: messages.Route
) -> peer_messages.OriginQuery:
    """Return the query about a stream of a route.

    It names no service if the route leads to several.
    """
    services = _list_services(route)
    return peer_messages.OriginQuery(
        *stream,
        route.name,
        services.pop() if len(services) == 1 else '',
        round(1000 * LIFETIME_FACTOR * route.timeout),
    )
