"""Finds the software version that began a stream which a caller resumes.

A caller may resume at any instance. The instance that sends the first event of
a resumable stream therefore replicates the stream's origin, its service and
software version, to two others. They are in different zones if possible, and
follow from the session of the stream.

Without a record, a stream's origin follows only if its service had a single
version. That nothing else served can't be told from old knowledge, so it is
confirmed with the store after the request has arrived. A stream whose origin
can't be found does not continue, and the caller begins anew.
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
from vanillayoke.gateway import refusals
from vanillayoke.gateway import stream_replicas
from vanillayoke.scheduling import origin_cache
from vanillayoke.scheduling import software_versions

# Others are asked to confirm the versions if this instance has not done so.
CONFIRMATION_HEAD_START_SECONDS = 0.05
# A store that is away or slow must not delay the refusal for longer.
CONFIRMATION_TIMEOUT_SECONDS = 0.6
# The origin of equal requests that ran at several versions at a time.
AMBIGUOUS = messages.StreamOrigin('', '')
# A caller's time for a request may be longer than the route's.
LIFETIME_FACTOR = 2.0
LIFETIME_MARGIN_SECONDS = 1.0
# Callers may claim to wait for any time.
MAX_LIFETIME_SECONDS = 600.0


class StreamName(typing.NamedTuple):
    """What identifies a stream among instances.

    ``request`` is the one that began it, empty if the caller that resumes it
    does not say; then it is the newest one of its session. ``session`` names
    the program and the session. Requests without a program have ``content``
    instead, the fingerprint of what they ask for, which the caller repeats.
    """

    request: str
    session: str
    content: str = ''

    @property
    def key(self) -> str:
        """What determines the instances with replicas."""
        return self.session or self.content or self.request


class Resumptions:
    """Records the origins of streams, and finds those of resumed streams.

    ``confirm`` gets the seconds that it may take and returns whether all
    changes of routes and targets until now are known.
    """

    def __init__(
        self,
        catalog: catalog_module.Catalog,
        versions: software_versions.SoftwareVersions,
        confirm: typing.Callable[[float], typing.Awaitable[bool]],
        replicas: stream_replicas.StreamReplicas,
        timer_service: timers.TimerService,
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._catalog = catalog
        self._versions = versions
        self._confirm = confirm
        self._replicas = replicas
        self._timers = timer_service
        self._log = log
        self._metrics = metrics
        self._by_request: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )
        self._by_session: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )
        self._by_content: origin_cache.OriginCache[messages.StreamOrigin] = (
            origin_cache.OriginCache()
        )

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
            stream.request,
            stream.session,
            *origin,
            round(1000 * min(lifetime, MAX_LIFETIME_SECONDS)),
            stream.content,
        )
        self.receive(begun)
        self._replicas.notify(self._replicas.list_recipients(key), begun)

    def receive(self, begun: peer_messages.StreamBegun) -> None:
        """Record the origin of a stream that began at any instance."""
        origin = messages.StreamOrigin(begun.service, begun.software_version)
        lifetime = begun.lifetime_ms / 1000 + LIFETIME_MARGIN_SECONDS
        now = self._timers.now()
        if begun.request:
            self._by_request.record(begun.request, origin, now, lifetime)
        if begun.session:
            self._by_session.record(begun.session, origin, now, lifetime)
        if begun.content:
            # Unlike those of a session, equal requests run at the same time.
            known = self._by_content.find(begun.content, now)
            if known not in (None, origin):
                origin = AMBIGUOUS
            self._by_content.record(begun.content, origin, now, lifetime)

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
        if origin is None:
            raise refusals.RefusalError(
                refusals.Reason.ORIGIN_UNKNOWN,
                f'stream of {stream.request or "an unnamed request"}'
                f' at any of {sorted(_list_services(route))}',
            )
        if not self._can_continue(origin, route):
            await self._catch_up(origin, route)
        return origin

    def _can_continue(
        self, origin: messages.StreamOrigin, route: messages.Route
    ) -> bool:
        """Return whether a route and a target are known for a stream."""
        return origin.service in _list_services(route) and self._is_present(
            origin
        )

    async def _catch_up(
        self, origin: messages.StreamOrigin, route: messages.Route
    ) -> None:
        """Learn of changes that let a stream continue.

        Raise ``RefusalError`` if the route no longer leads to its service, or
        if that could not be confirmed.
        """
        if not await self._confirm(CONFIRMATION_TIMEOUT_SECONDS):
            raise refusals.RefusalError(
                refusals.Reason.ORIGIN_UNKNOWN,
                f'no route to a target of {origin.service} with software'
                f' {origin.software_version} is known; unconfirmed',
            )
        if origin.service not in self._list_current_services(route.name):
            raise refusals.RefusalError(
                refusals.Reason.VERSION_GONE,
                f'route {route.name} no longer leads to {origin.service}',
            )

    def _list_current_services(self, route_name: str) -> set[str]:
        """Return the services that a route leads to now, if it exists."""
        configuration = self._catalog.configuration
        routes = () if configuration is None else configuration.routes
        return {
            service
            for route in routes
            if route.name == route_name
            for service in _list_services(route)
        }

    def _is_present(self, origin: messages.StreamOrigin) -> bool:
        """Return whether a target is known that may continue a stream."""
        service = origin.service
        targets = (
            *self._catalog.list_targets(service),
            *self._catalog.list_draining(service, float('-inf')),
        )
        return any(
            target.software_version == origin.software_version
            for target in targets
        )

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
        query = peer_messages.OriginQuery(
            stream.request, stream.session, content=stream.content
        )
        own = self._find_recorded(query)
        if own is not None and stream.request:
            return own, 'own_record'
        responses = await self._query_replicas(stream.key, query)
        recorded = {
            messages.StreamOrigin(*response.origin)
            for response in responses.values()
            if response.origin is not None
        }
        source = 'peer_record' if recorded else 'own_record'
        if own is not None:
            recorded.add(own)
        if len(recorded) > 1 or AMBIGUOUS in recorded:
            # Some know only an older stream of the session.
            return None, 'unknown'
        if recorded and (
            stream.request
            or self._replicas.list_replicas(stream.key) <= responses.keys()
        ):
            return recorded.pop(), source
        # Others may know a newer stream of the session.
        origin, source = await self._conclude(stream, route)
        if origin is None or not recorded <= {origin}:
            return None, 'unknown'
        return origin, source

    def handle_query(
        self, query: peer_messages.OriginQuery
    ) -> peer_messages.StreamOrigin:
        """Respond with what this instance knows of a stream's origin."""
        return peer_messages.StreamOrigin(self._find_recorded(query))

    # Conclusions from the versions of a service

    async def _conclude(
        self, stream: StreamName, route: messages.Route
    ) -> tuple[messages.StreamOrigin | None, str]:
        """Return the origin if the service had a single version."""
        services = _list_services(route)
        if len(services) != 1:
            return None, 'unknown'
        query = peer_messages.VersionQuery(
            route.name,
            next(iter(services)),
            round(1000 * LIFETIME_FACTOR * route.timeout),
        )
        deadline = self._timers.now() + CONFIRMATION_TIMEOUT_SECONDS
        own = asyncio.ensure_future(self._confirm_versions(query))
        try:
            await asyncio.wait((own,), timeout=CONFIRMATION_HEAD_START_SECONDS)
            versions, source = None, 'only_version'
            if own.done():
                versions = own.result()
            if versions is None:
                versions = await self._query_versions(stream, query, deadline)
                source = 'peer_version'
            if versions is None:
                versions, source = await own, 'only_version'
        finally:
            own.cancel()
        if versions is None or len(versions) != 1:
            return None, 'unknown'
        [version] = versions
        return messages.StreamOrigin(query.service, version), source

    async def _confirm_versions(
        self, query: peer_messages.VersionQuery
    ) -> typing.Collection[str] | None:
        """Return all versions that served, ``None`` if that is not certain.

        Several that are known already are returned without a read of the
        store: there is no single one, whatever else served.
        """
        known = self._list_versions(query, self._versions.list_known)
        if known is None or len(known) > 1:
            return known
        if not await self._confirm(CONFIRMATION_TIMEOUT_SECONDS):
            return None
        # The instance that asks may have an old configuration.
        if self._list_current_services(query.route) != {query.service}:
            return None
        return self._list_versions(query, self._versions.list_versions)

    def _list_versions(
        self,
        query: peer_messages.VersionQuery,
        list_recorded: typing.Callable[..., frozenset[str] | None],
    ) -> frozenset[str] | None:
        targets = self._catalog.list_targets(query.service)
        return list_recorded(
            query.route,
            query.service,
            {target.software_version for target in targets},
            query.window_ms / 1000,
            self._timers.now(),
        )

    async def handle_version_query(
        self, query: peer_messages.VersionQuery
    ) -> peer_messages.ServedVersions:
        """Respond with all versions that a service had, if that is certain."""
        versions = await self._confirm_versions(query)
        return peer_messages.ServedVersions(
            None if versions is None else tuple(sorted(versions))
        )

    async def _query_versions(
        self,
        stream: StreamName,
        query: peer_messages.VersionQuery,
        deadline: float,
    ) -> typing.Collection[str] | None:
        """Return what the first instance says that is certain of it."""
        async for _, response in self._replicas.query(
            stream.key, query, deadline
        ):
            if (
                isinstance(response, peer_messages.ServedVersions)
                and response.versions is not None
            ):
                return response.versions
        return None

    def prune(self) -> None:
        """Forget streams that callers can't resume any more."""
        now = self._timers.now()
        self._by_request.prune(now)
        self._by_session.prune(now)
        self._by_content.prune(now)
        self._versions.prune(now)

    def _find_recorded(
        self, query: peer_messages.OriginQuery
    ) -> messages.StreamOrigin | None:
        now = self._timers.now()
        if query.request:
            return self._by_request.find(query.request, now)
        if query.session:
            return self._by_session.find(query.session, now)
        return self._by_content.find(query.content, now)

    async def _query_replicas(
        self, key: str, query: peer_messages.OriginQuery
    ) -> dict[str, peer_messages.StreamOrigin]:
        """Return the responses by instance.

        The first one that knows the origin of a named stream is enough.
        """
        responses = {}
        async for instance, response in self._replicas.query(
            key, query, self._timers.now()
        ):
            if not isinstance(response, peer_messages.StreamOrigin):
                continue
            responses[instance] = response
            if response.origin is not None and query.request:
                break
        return responses


def _list_services(route: messages.Route) -> set[str]:
    """Return the services that requests of a route may go to."""
    return {share.service for share in route.shares if share.weight > 0} or {
        route.shares[0].service
    }
