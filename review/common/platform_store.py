"""A stand-in of the platform's metadata store.

Every machine has an address of its own, so that the store can turn single
machines away (PROTOCOL.md, "It may reject some machines").
"""

import asyncio
import base64
import bisect
import collections
import json
import time
import typing
import urllib.parse

from common import wire

CALL_SECONDS = 0.004
MAX_ROWS = 500

Key = tuple[str, str, str]


class Row(typing.NamedTuple):
    """A value, ``None`` after its removal, and its version."""

    value: str | None
    version: int


class Store:
    """Linearizable rows with transactions and change feeds."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}
        self.version = 0
        # The keys of each partition, and the changes of each table.
        self._keys: dict[tuple[str, str], set[str]] = collections.defaultdict(
            set
        )
        self._changes: dict[str, list[tuple[int, Key]]] = (
            collections.defaultdict(list)
        )
        # Machines whose calls get no response, or 503.
        self.silent: set[str] = set()
        self.busy: set[str] = set()
        # The machine that wrote last, by table and key.
        self.writers: dict[tuple[str, str], str] = {}
        self._changed = asyncio.Event()
        self._servers: dict[str, wire.Server] = {}

    async def listen(self, machine: str) -> str:
        """Open the store's address for a machine."""
        server = wire.Server(
            lambda request, writer: self._handle(machine, request, writer)
        )
        self._servers[machine] = server
        return await server.listen('127.0.0.1')

    def put(self, table: str, key: str, content: typing.Any) -> None:
        """Write a row as the operator or a server does."""
        data = None
        if content is not None:
            data = json.dumps(content).encode()
        self.put_bytes(table, key, data)

    def put_bytes(self, table: str, key: str, data: bytes | None) -> None:
        """Write a row's bytes; ``None`` removes it."""
        value = None if data is None else base64.b64encode(data).decode()
        self.version += 1
        self._set((table, '', key), value)
        self._notify()

    def read(self, table: str) -> dict[str, bytes]:
        """Return the values of a table, by key."""
        return {
            key: base64.b64decode(row.value)
            for (name, _, key), row in self.rows.items()
            if name == table and row.value is not None
        }

    async def _handle(
        self,
        machine: str,
        request: wire.Request,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if machine in self.silent:
            await asyncio.sleep(3600.0)
        if machine in self.busy:
            await wire.send_response(writer, 503, {}, b'{}')
            return True
        await asyncio.sleep(CALL_SECONDS)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, content = 404, {}
        match url.path:
            case '/-/rows-tx':
                changes = json.loads(request.body)
                status, content = self._transact(machine, changes)
            case '/-/rows-get':
                status, content = 200, self._get(query)
            case '/-/rows-feed':
                status, content = 200, await self._feed(query)
        if machine in self.silent:
            await asyncio.sleep(3600.0)
        content['server_time_ms'] = int(time.monotonic() * 1000)
        content.setdefault('ver', self.version)
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(content).encode()
        await wire.send_response(writer, status, headers, body)
        return True

    def _transact(self, machine: str, changes: dict) -> tuple[int, dict]:
        expected = [(_key(row), row['ver']) for row in changes['expected']]
        if any(self._current(key) != version for key, version in expected):
            rows = [
                self._encode(key) for key, _ in expected if self._current(key)
            ]
            return 412, {'rows': rows}
        if not (changes['writes'] or changes['remove']):
            return 200, {}
        self.version += 1
        for row in changes['writes']:
            self._set(_key(row), row['value'])
            self.writers[(row['table'], row['key'])] = machine
        for row in changes['remove']:
            self._set(_key(row), None)
        self._notify()
        return 200, {}

    def _set(self, key: Key, value: str | None) -> None:
        self.rows[key] = Row(value, self.version)
        keys = self._keys[key[:2]]
        if value is None:
            keys.discard(key[2])
        else:
            keys.add(key[2])
        self._changes[key[0]].append((self.version, key))

    def _get(self, query: dict) -> dict:
        start, end = query.get('from', ''), query.get('to')
        place = query['table'], query.get('part', '')
        keys = sorted(
            (*place, name)
            for name in self._keys[place]
            if name >= start and (end is None or name < end)
        )
        count = min(MAX_ROWS, int(query.get('max_items', MAX_ROWS)))
        return {
            'rows': [self._encode(key) for key in keys[:count]],
            'has_more': len(keys) > count,
        }

    async def _feed(self, query: dict) -> dict:
        after = int(query['after'])
        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._list_changes(query['table'], after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return {'rows': self._list_changes(query['table'], after)}

    def _list_changes(self, table: str, after: int) -> list[dict]:
        changes = self._changes[table]
        first = bisect.bisect_left(changes, (after + 1,))
        return [
            self._encode(key)
            for version, key in changes[first:]
            if self.rows[key].version == version
        ]

    def _current(self, key: Key) -> int:
        row = self.rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def _encode(self, key: Key) -> dict:
        row = self.rows[key]
        encoded = {'table': key[0], 'part': key[1], 'key': key[2]}
        encoded['ver'] = row.version
        if row.value is None:
            encoded['deleted'] = True
        else:
            encoded['value'] = row.value
        return encoded

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _key(row: dict) -> Key:
    return row['table'], row['part'], row['key']
