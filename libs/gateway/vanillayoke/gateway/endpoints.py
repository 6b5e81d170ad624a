"""HTTP endpoints for readiness, address lookup and relayed store calls."""

import random
import typing

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import directory
from vanillayoke.gateway import members as members_module
from vanillayoke.gateway import store as store_module
from vanillayoke.transport import server


class Endpoints:
    """Handlers of an instance's auxiliary endpoints."""

    def __init__(
        self,
        instance: str,
        dialect: dialect_module.Dialect,
        members: members_module.Members,
        store: store_module.StoreClient,
        rng: random.Random,
        is_ready: typing.Callable[[], bool],
        is_isolated: typing.Callable[[], bool],
        list_failing: typing.Callable[[], list[str]],
    ) -> None:
        self._instance = instance
        self._dialect = dialect
        self._members = members
        self._store = store
        self._rng = rng
        self._is_ready = is_ready
        self._is_isolated = is_isolated
        self._list_failing = list_failing

    async def handle_readiness(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Respond 200 if the instance can take requests, else 503.

        The body names the long-running tasks that failed lately, one a line.
        They don't change the status: what fails them may fail those of all
        instances, which would all stop taking requests.
        """
        body = ''.join(f'failing: {name}\n' for name in self._list_failing())
        responder.send(200 if self._is_ready() else 503, [], body.encode())

    async def handle_lookup(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Respond with the addresses that a caller may connect to."""
        try:
            lookup = self._dialect.decode_lookup(request)
        except dialect_module.BadCallError:
            responder.send(400, [], b'')
            return
        addresses = directory.choose_addresses(
            self._list_available(),
            lookup.region,
            lookup.zone,
            self._rng.shuffle,
        )
        if not addresses:
            responder.send(503, [], b'')
            return
        body = self._dialect.encode_addresses(addresses, directory.TTL_SECONDS)
        content_type = (b'Content-Type', b'application/json')
        responder.send(200, [content_type], body)

    async def handle_relay(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Forward a store call of another instance to the store."""
        status, body = await self._store.relay(
            dialect_module.StoreRequest(
                request.method, request.target, request.body
            )
        )
        responder.send(status, [], body)

    def _list_available(self) -> list[cluster_messages.Member]:
        if self._is_isolated():
            # The membership view may be outdated; other instances can answer.
            return []
        live = self._members.list_live()
        if self._is_ready():
            return live
        return [member for member in live if member.instance != self._instance]
