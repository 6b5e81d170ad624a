"""HTTP adapters for the four ports of the platform.

All writes are ``POST``: aiohttp silently repeats ``PUT`` and ``DELETE`` on
a fresh connection after a broken one, and the error of the repeat (such as
a refused connection) would then wrongly prove that nothing was written.
"""

import ssl
import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.platform import links
from vanillayoke.platform import messages
from vanillayoke.platform import ports
from vanillayoke.settings import process

Item = typing.TypeVar('Item')

_CONFLICTING_BLOB = failures.Failure(
    failures.Kind.CONFLICT, 'the key has another blob'
)


class HttpTable(ports.TableService):
    """The table service over HTTP."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def read(self, key: str) -> ports.Row | None | failures.Failure:
        body = await _get(self._link, '/row', key=key)
        if body is None or failures.is_failure(body):
            return body
        return _blame_read(_decode(body, ports.Row))

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[ports.Row] | failures.Failure:
        return await _list(
            self._link,
            '/rows',
            ports.Row,
            prefix=prefix,
            after=after,
            limit=str(limit),
        )

    async def transact(
        self, write_id: str, writes: typing.Sequence[ports.Put | ports.Delete]
    ) -> ports.Committed | ports.Conflict | failures.Failure:
        body = messages.encode_transaction(write_id, writes)
        reply = await self._link.request('POST', '/transactions', body=body)
        match reply:
            case links.Reply(links.OK, body):
                return _decode(body, ports.Committed)
            case links.Reply(links.CONFLICT, body):
                return _decode(body, ports.Conflict)
        return _explain(reply)


class HttpObjects(ports.ObjectStore):
    """The object store over HTTP."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def put(self, key: str, blob: bytes) -> None | failures.Failure:
        return await self._write('/object', key, blob)

    async def delete(self, key: str) -> None | failures.Failure:
        return await self._write('/object/deletions', key, b'')

    async def _write(
        self, path: str, key: str, blob: bytes
    ) -> None | failures.Failure:
        reply = await self._link.request('POST', path, {'key': key}, blob)
        match reply:
            case links.Reply(links.OK):
                return None
            case links.Reply(links.CONFLICT):
                return _CONFLICTING_BLOB
        return _explain(reply)

    async def get(self, key: str) -> bytes | None | failures.Failure:
        return await _get_marked(self._link, '/object', key=key)

    async def list_keys(self, prefix: str) -> list[str] | failures.Failure:
        return await _list(self._link, '/objects', str, prefix=prefix)


class HttpWeights(ports.WeightStore):
    """The weight store's catalogue over HTTP."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def list_weights(
        self,
    ) -> list[ports.WeightSet] | failures.Failure:
        return await _list(self._link, '/weights', ports.WeightSet)

    async def read_rate(self) -> float | failures.Failure:
        body = await _get_marked(self._link, '/weights/rate')
        if failures.is_failure(body):
            return body
        return _blame_read(_decode(body or b'', float))


class HttpInstances(ports.InstanceList):
    """The platform's list of instances over HTTP."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def list_instances(
        self,
    ) -> list[ports.ListedInstance] | failures.Failure:
        return await _list(self._link, '/instances', ports.ListedInstance)


class HttpPlatform:
    """All four adapters with their connections."""

    def __init__(
        self, made: ports.Platform, opened: typing.Sequence[links.Link]
    ) -> None:
        self.ports = made
        self._links = opened

    @classmethod
    def from_config(
        cls,
        settings: process.PlatformSettings,
        service: timers.TimerService,
        caller: str,
        tls: ssl.SSLContext | None = None,
    ) -> 'HttpPlatform':
        """Make the adapters; ``caller`` is this instance's name."""

        def open_link(address: str) -> links.Link:
            return links.Link(
                links.LinkSettings(
                    address, caller, timeout=settings.timeout, tls=tls
                ),
                service,
            )

        table = open_link(settings.table)
        objects = open_link(settings.objects)
        weights = open_link(settings.weights)
        instances = open_link(settings.instances)
        made = ports.Platform(
            HttpTable(table),
            HttpObjects(objects),
            HttpWeights(weights),
            HttpInstances(instances),
        )
        return cls(made, (table, objects, weights, instances))

    async def close(self) -> None:
        """Close all connections."""
        for link in self._links:
            await link.close()


async def _get(
    link: links.Link, path: str, **params: str
) -> bytes | None | failures.Failure:
    """Read a body that shows by itself whether it is whole."""
    return _take_body(await link.request('GET', path, params))


async def _get_marked(
    link: links.Link, path: str, **params: str
) -> bytes | None | failures.Failure:
    """Read a body of which a part would be valid, too."""
    reply = await link.request('GET', path, params)
    match reply:
        case links.Reply(links.OK, _, False):
            return failures.Failure(
                failures.Kind.STORE_UNAVAILABLE,
                'the reply ended with its connection',
            )
    return _take_body(reply)


def _take_body(
    reply: links.Reply | failures.Failure,
) -> bytes | None | failures.Failure:
    match reply:
        case links.Reply(links.OK, body):
            return body
        case links.Reply(links.NOT_FOUND):
            return None
    return _blame_read(_explain(reply))


async def _list(
    link: links.Link, path: str, item: type[Item], **params: str
) -> list[Item] | failures.Failure:
    body = await _get(link, path, **params)
    if failures.is_failure(body):
        return body
    return _blame_read(_decode(body or b'', list[item]))


def _decode(body: bytes, value_type: type) -> typing.Any:
    try:
        return messages.decode(body, value_type)
    except msgspec.DecodeError as error:
        return failures.Failure(failures.Kind.STORE_UNCERTAIN, str(error))


def _explain(reply: links.Reply | failures.Failure) -> failures.Failure:
    """Tell what a failure or an unexpected status proves.

    Only the service itself knows that it wrote nothing, so a bare 502 or
    503, which a relay on the way may have made up, leaves it in doubt.
    """
    if failures.is_failure(reply):
        return reply
    reason = f'status {reply.status}'
    match _decode(reply.body, messages.RefusalMessage):
        case messages.RefusalMessage(applied=False):
            return failures.Failure(failures.Kind.STORE_UNAVAILABLE, reason)
    return failures.Failure(failures.Kind.STORE_UNCERTAIN, reason)


def _blame_read(result: typing.Any) -> typing.Any:
    """Call any failure of a read unavailability: it wrote nothing."""
    if failures.is_failure(result):
        return result._replace(kind=failures.Kind.STORE_UNAVAILABLE)
    return result
