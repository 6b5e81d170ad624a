"""What an instance answers beside the requests of programs."""

import random
import typing

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import directory
from vanillayoke.gateway import members as members_module
from vanillayoke.gateway import store as store_module
from vanillayoke.transport import server


class Endpoints:
    """Readiness, addresses for callers, and the way to the store."""

    def __init__(
        self,
        instance: str,
        dialect: dialect_module.Dialect,
        members: members_module.Members,
        store: store_module.StoreClient,
        rng: random.Random,
        is_ready: typing.Callable[[], bool],
        is_isolated: typing.Callable[[], bool],
    ) -> None:
        self._instance = instance
        self._dialect = dialect
        self._members = members
        self._store = store
        self._rng = rng
        self._is_ready = is_ready
        self._is_isolated = is_isolated

    async def handle_readiness(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Say whether callers may be sent here."""
        responder.send(200 if self._is_ready() else 503, [], b'')

    async def handle_lookup(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Name the instances that a caller may connect to."""
        lookup = self._dialect.decode_lookup(request)
        addresses = directory.choose_addresses(
            self._list_named(),
            lookup.region,
            lookup.zone,
            self._rng.shuffle,
        )
        if not addresses:
            responder.send(503, [], b'')
            return
        body = self._dialect.encode_addresses(addresses, directory.TTL_SECONDS)
        kind = (b'Content-Type', b'application/json')
        responder.send(200, [kind], body)

    async def handle_relay(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        """Pass a call of another instance on to the store."""
        status, body = await self._store.relay(
            dialect_module.StoreRequest(
                request.method, request.target, request.body
            )
        )
        responder.send(status, [], body)

    def _list_named(self) -> list[cluster_messages.Member]:
        if self._is_isolated():
            # Callers ask another instance, which knows who is there.
            return []
        live = self._members.list_live()
        if self._is_ready():
            return live
        return [one for one in live if one.instance != self._instance]
