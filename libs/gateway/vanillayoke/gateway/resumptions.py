"""Finds the software version that began a stream which a caller resumes.

A caller may resume at any instance. The instance that sends the first event of
a resumable stream therefore tells two others, the stream's holders, which
version it is from. Holders are in different zones if possible, and follow from
the name of the request that began the stream. Nothing is stored: a stream
whose origin is lost with its holders can't continue, and the caller begins
anew.
"""

import asyncio

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

HOLDER_COUNT = 2
# One more than there are holders, as one of them may just have joined.
QUERY_COUNT = HOLDER_COUNT + 1
# The caller waits for the response; a holder that is busy or gone is not worth
# a large part of the time that the stream has left.
QUERY_TIMEOUTS_SECONDS = (0.02, 0.05)
# A caller's time for a request may be longer than the route's.
LIFETIME_FACTOR = 2.0
LIFETIME_MARGIN_SECONDS = 1.0


class Resumptions:
    """Records the origins of streams, and finds those of resumed streams."""

    def __init__(
        self,
        instance: str,
        catalog: catalog_module.Catalog,
        versions: software_versions.SoftwareVersions,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._catalog = catalog
        self._versions = versions
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._origins: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )
        self._zones = rendezvous.ZoneRanking()

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def record_begun(
        self, request: str, origin: messages.StreamOrigin, lifetime: float
    ) -> None:
        """Record the origin of a stream whose first event is sent now.

        The caller may resume it within ``lifetime`` seconds.
        """
        begun = peer_messages.StreamBegun(
            request, *origin, round(1000 * lifetime)
        )
        self.receive(begun)
        for holder in self._list_others(request, HOLDER_COUNT):
            self._peers.notify(holder.address, begun)

    def receive(self, begun: peer_messages.StreamBegun) -> None:
        """Record the origin of a stream that began at any instance."""
        self._origins.record(
            begun.request,
            messages.StreamOrigin(begun.service, begun.software_version),
            self._timers.now(),
            begun.lifetime_ms / 1000 + LIFETIME_MARGIN_SECONDS,
        )

    async def find_origin(
        self, request: str, resumes: str | None, route: messages.Route
    ) -> messages.StreamOrigin:
        """Return the origin of the stream that a request resumes.

        ``resumes`` is the request that began it, ``None`` if the caller does
        not say. Raise ``RefusalError`` if the origin is unknown, or if the
        route no longer leads to its service.
        """
        origin, source = await self._search(request, resumes, route)
        self._metrics.resumed_streams.add(1, source=source)
        services = {share.service for share in route.shares}
        if origin is None:
            raise refusals.RefusalError(
                refusals.Reason.ORIGIN_UNKNOWN,
                f'stream of {resumes} at any of {sorted(services)}',
            )
        if origin.service not in services:
            raise refusals.RefusalError(
                refusals.Reason.VERSION_GONE,
                f'route {route.name} no longer leads to {origin.service}',
            )
        return origin

    async def _search(
        self, request: str, resumes: str | None, route: messages.Route
    ) -> tuple[messages.StreamOrigin | None, str]:
        """Return an origin and where it was found."""
        origin = self._origins.find(resumes or '', self._timers.now())
        if origin is not None:
            return origin, 'own_record'
        query = _make_query(resumes or '', route)
        only_version = self._find_only_version(query)
        # Without a name there is no record to ask for.
        if only_version is not None and resumes is None:
            return only_version, 'only_version'
        responses = await self._query_holders(resumes or request, query)
        for response in responses:
            if response.origin is not None:
                return messages.StreamOrigin(*response.origin), 'peer_record'
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
            self._origins.find(query.request, self._timers.now()),
            None if only_version is None else only_version.software_version,
        )

    def prune(self) -> None:
        """Forget streams that callers can't resume any more."""
        now = self._timers.now()
        self._origins.prune(now)
        self._versions.prune(now)

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

    async def _query_holders(
        self, key: str, query: peer_messages.OriginQuery
    ) -> list[peer_messages.StreamOrigin]:
        """Return the responses of holders, up to one that knows the origin."""
        tasks = [
            asyncio.ensure_future(
                self._peers.send_request(
                    holder.address,
                    query,
                    self._timers.now(),
                    QUERY_TIMEOUTS_SECONDS,
                )
            )
            for holder in self._list_others(key, QUERY_COUNT)
        ]
        responses = []
        try:
            for task in asyncio.as_completed(tasks):
                response = await task
                if not isinstance(response, peer_messages.StreamOrigin):
                    continue
                responses.append(response)
                if response.origin is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return responses

    def _list_others(self, request: str, count: int) -> list[rendezvous.Peer]:
        """Return the holders of a stream except this instance."""
        holders = self._zones.list_highest(
            request, self._list_eligible(), count
        )
        return [peer for peer in holders if peer.instance != self._instance]


def _make_query(
    request: str, route: messages.Route
) -> peer_messages.OriginQuery:
    """Return the query about a stream of a route.

    It names no service if the route leads to several.
    """
    services = {share.service for share in route.shares}
    return peer_messages.OriginQuery(
        request,
        route.name,
        services.pop() if len(services) == 1 else '',
        round(1000 * LIFETIME_FACTOR * route.timeout),
    )
