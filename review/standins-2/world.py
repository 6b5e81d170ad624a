"""Stand-ins for the scripts of this review: store, servers, clients, links.

Everything runs in the process of the script, but for the instances, which are
processes started with the command of the deploy file. Only the standard
library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'site.example'
PREFIX = 'X-Vanillayoke-'


# Limits of the store: of a call, and of the rows in one answer.
MAX_ENTRIES, MAX_CALL_BYTES, MAX_PAGE_BYTES = 100, 1_000_000, 1_000_000
MAX_NAME_BYTES, MAX_VALUE_BYTES = 200, 65536
# Of a machine, as the sheet of the deployment has it.
MEMORY_BYTES = 170 * 1024 * 1024


# Last numbers of addresses, and ports: the store, instances, servers.
_USED = [(1, 8142)]
_USED += [
    (host, port)
    for host in range(11, 20)
    for port in (8149, 8141, 8143, 8144, 7380, 7381, 9464)
]
_USED += [(host, 8080) for host in range(130, 145)]


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started_at = time.monotonic()

    def write(self, text):
        """Write one line with the seconds since the start."""
        now = time.monotonic() - self._started_at
        print(f'{now:9.3f}  {text}', file=self._file, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Return the first line, the header fields and the body; None at EOF."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields, await read_body(reader, fields)


async def read_body(reader, fields):
    """Return a body with a length or in chunks."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b''.join(parts)
    length = int(fields.get('content-length') or 0)
    return await reader.readexactly(length) if length else b''


def encode_response(status, fields, body=b''):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in fields]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
    writer.transport.abort()


class Store:
    """The platform's metadata store: rows, transactions and their feed."""

    def __init__(self, host, port=8142):
        self.address = f'{host}:{port}'
        self._host, self._port = host, port
        self.rows = {}
        self.version = 1
        self.delay = 0.004
        # Called with the caller's IP, the call and the parsed body; returns
        # 'serve', 'busy', 'silent', 'lost' (done, no answer) or 'late'.
        self.decide = lambda caller, call, body: 'serve'
        self._changed = asyncio.Event()
        self._log = []
        self._started_at = time.monotonic()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )

    def put(self, table, key, content):
        """Write a row of the operator or of a server; None removes it."""
        value = None
        if content is not None:
            value = base64.b64encode(json.dumps(content).encode()).decode()
        self.version += 1
        self._set((table, '', key), value)
        self._notify()

    def _set(self, key, value):
        self.rows[key] = (value, self.version)
        self._log.append((self.version, key))

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _now_ms(self):
        return round(1000 * (time.monotonic() - self._started_at))

    async def _serve(self, reader, writer):
        caller = writer.get_extra_info('peername')[0]
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._handle(caller, *message)
                if answer is None:
                    writer.close()
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _handle(self, caller, line, fields, body):
        method, target, _ = line.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.rpartition('/')[2]
        content = json.loads(body) if body else query
        decision = self.decide(caller, call, content)
        if decision == 'busy':
            return self._json(503, {})
        if decision == 'silent':
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay)
        if call == 'rows-tx':
            if not _is_valid(content, len(body)):
                return self._json(400, {})
            if decision == 'late':
                loop = asyncio.get_running_loop()
                loop.call_later(2.0, self._transact, content)
                await asyncio.sleep(3600)
            answer = self._transact(content)
            if decision == 'lost':
                await asyncio.sleep(3600)
            return answer
        if call == 'rows-get':
            return self._get(query)
        if call == 'rows-feed':
            return await self._feed(query)
        return self._json(404, {})

    def _json(self, status, content):
        fields = [('Content-Type', 'application/json')]
        return status, fields, json.dumps(content).encode()

    def _transact(self, content):
        expected = content.get('expected', ())
        keys = [(_key(row), row['ver']) for row in expected]
        if any(self._ver(key) != version for key, version in keys):
            rows = [self._row(key) for key, _ in keys if self._ver(key)]
            return self._json(
                412,
                {
                    'rows': rows,
                    'ver': self.version,
                    'server_time_ms': self._now_ms(),
                },
            )
        writes, removed = content.get('writes', ()), content.get('remove', ())
        if writes or removed:
            self.version += 1
        for row in writes:
            self._set(_key(row), row['value'])
        for row in removed:
            self._set(_key(row), None)
        self._notify()
        return self._json(
            200, {'ver': self.version, 'server_time_ms': self._now_ms()}
        )

    def _get(self, query):
        start, end = query.get('from', ''), query.get('to')
        most = min(500, int(query.get('max_items', 500)))
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (query['table'], query.get('part', ''))
            and self._ver(key)
            and key[2] >= start
            and (end is None or key[2] < end)
        )
        rows, size = [], 0
        for key in keys[:most]:
            size += len(self.rows[key][0])
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(self._row(key))
        return self._json(
            200,
            {
                'rows': rows,
                'has_more': len(keys) > len(rows),
                'ver': self.version,
                'server_time_ms': self._now_ms(),
            },
        )

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            found = {
                key
                for version, key in self._log
                if version > after and key[0] == table
            }
            left = until - time.monotonic()
            if found or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        keys = sorted(found, key=lambda key: self.rows[key][1])
        return self._json(
            200,
            {
                'rows': [self._row(key) for key in keys],
                'ver': self.version,
                'server_time_ms': self._now_ms(),
            },
        )

    def _ver(self, key):
        value, version = self.rows.get(key, (None, 0))
        return 0 if value is None else version

    def _row(self, key):
        value, version = self.rows[key]
        row = dict(zip(('table', 'part', 'key'), key, strict=True))
        row['ver'] = version
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = value
        return row


def _is_valid(content, size):
    """Return whether a transaction keeps the store's limits."""
    rows = [
        row
        for name in ('expected', 'writes', 'remove')
        for row in content.get(name, ())
    ]
    changed = [*content.get('writes', ()), *content.get('remove', ())]
    return (
        len(rows) <= MAX_ENTRIES
        and size <= MAX_CALL_BYTES
        and len({row.get('part', '') for row in rows}) <= 1
        and all(row['table'] not in ('op', 'servers') for row in changed)
        and all(
            len(name.encode()) <= MAX_NAME_BYTES
            for row in rows
            for name in _key(row)
        )
        and all(
            len(row['value']) <= MAX_VALUE_BYTES
            for row in content.get('writes', ())
        )
    )


def _key(row):
    return row['table'], row.get('part', ''), row['key']


class Run:
    """A request that a server began to work on."""

    def __init__(self, server, line, fields, body):
        self.server = server
        self.line, self.fields, self.body = line, fields, body
        self.request = fields.get('x-vanillayoke-request-id', '')
        self.at = time.monotonic()
        self.is_over = False


class Server:
    """A server; ``work`` handles what it runs, by default an echo."""

    def __init__(self, world, name, service, host, port=8080, slots=6):
        self.world, self.name, self.service = world, name, service
        self.host, self.port, self.slots = host, port, slots
        self.address = f'{host}:{port}'
        self.runs = []
        self.running = 0
        self.work = work_plain
        self.version = 'v1'

    async def start(self, register=True):
        """Listen, and register in the store."""
        self.listener = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        if register:
            self.register('ready')

    def register(self, state):
        """Write this server's row."""
        content = {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': self.version,
            'slot_count': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'call_seq': 0,
        }
        self.world.store.put('servers', self.name, content)

    def make_fields(self, request, is_run=True):
        """Return the header fields of a response."""
        fields = [
            (PREFIX + 'Request-Id', request),
            (PREFIX + 'Server-Load', f'{self.running},0,{self.slots}'),
        ]
        if is_run:
            fields.append((PREFIX + 'Server-Stamp', f'{self.name}.{request}'))
        else:
            fields.append((PREFIX + 'Not-Executed', '1'))
        return fields

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self._handle(reader, writer, *message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, reader, writer, line, fields, body):
        request = fields.get('x-vanillayoke-request-id', '')
        expected = fields.get('x-vanillayoke-expect-instance')
        path = line.split(' ')[1]
        own = [(PREFIX + 'Instance-Id', self.name)]
        if expected not in (None, self.name):
            writer.write(
                encode_response(421, own + self.make_fields(request, False))
            )
        elif path in ('/healthz', '/-/report'):
            writer.write(encode_response(200, own, b'{}'))
        elif not request:
            writer.write(encode_response(400, self.make_fields('', False)))
        elif self.running >= self.slots:
            writer.write(
                encode_response(503, self.make_fields(request, False))
            )
        else:
            run = Run(self, line, fields, body)
            self.runs.append(run)
            self.world.record.write(
                f'server {self.name} runs {request}: {line}'
            )
            self.running += 1
            try:
                await self._work_until_closed(run, reader, writer)
            finally:
                self.running -= 1
                run.is_over = True
        await writer.drain()

    async def _work_until_closed(self, run, reader, writer):
        """Run a request; drop it when its connection closes."""
        working = asyncio.ensure_future(self.work(run, writer))
        closed = asyncio.ensure_future(_wait_closed(reader))
        await asyncio.wait(
            (working, closed), return_when=asyncio.FIRST_COMPLETED
        )
        closed.cancel()
        if not working.done():
            working.cancel()
            self.world.record.write(
                f'server {self.name} drops {run.request}: connection closed'
            )
            raise ConnectionError
        working.result()


async def _wait_closed(reader):
    while True:
        if reader.at_eof():
            return
        await asyncio.sleep(0.005)


async def work_plain(run, writer):
    """Answer after 20 ms."""
    await asyncio.sleep(0.02)
    writer.write(
        encode_response(
            200,
            run.server.make_fields(run.request),
            b'done ' + run.request.encode(),
        )
    )


def make_stream_work(events, interval):
    """Return what streams numbered events in chunks, after Last-Event-Id."""

    async def work(run, writer):
        fields = run.server.make_fields(run.request)
        fields.append(('Content-Type', 'text/event-stream'))
        fields.append(('Transfer-Encoding', 'chunked'))
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in fields]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        first = int(run.fields.get('last-event-id') or 0)
        for number in range(first + 1, events + 1):
            await asyncio.sleep(interval)
            event = f'id: {number}\ndata: piece-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    return work


class Instance:
    """A process of the system, started with the deploy file's command."""

    def __init__(self, world, number, zone='z1'):
        self.world, self.number, self.zone = world, number, zone
        self.name = f'edge-{number}'
        self.host = world.make_host(10 + number)
        self.front = f'{self.host}:8149'
        self.ready = f'{self.host}:8141'
        self.process = None

    def start(self, bootstrap=False, **changes):
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        [role] = deploy['roles'].values()
        settings = self._make_settings(bootstrap)
        for name, value in changes.items():
            settings[name] = value
        path = self.world.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables.update(role.get('env', {}))
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['VANILLAYOKE_SETTINGS'] = str(path)
        self.log = self.world.folder / f'{self.name}.log'
        words = shlex.split(role['run'])
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.world.instances.append(self)

    def _make_settings(self, bootstrap):
        return {
            'node': self.name,
            'node_role': 'gateway',
            'machine_class': 'edge',
            'serves': ['edge', 'dir'],
            'node_ip': self.host,
            'zone': self.zone,
            'region': 'r1',
            'zones': {'z1': 'r1', 'z2': 'r1'},
            'listen_addrs': {
                'front': self.front,
                'ready': self.ready,
                'control': f'{self.host}:8144',
                'directory': f'{self.host}:8143',
            },
            'port_range': [7380, 7395],
            'seed_addrs': [],
            'bootstrap': bootstrap,
            'count_loss': False,
            'limits': {'memory_mb': 170, 'max_fds': 8200, 'disk_mb': 0},
            'data_dir': None,
            'discovery_mode': 'platform',
            'entry_mode': 'dir',
            'heartbeat_ms': 1200,
            'active_rules': [
                'base', 'drain', 'config', 'cost', 'recover',
                'agent', 'stream', 'engine', 'platform',
            ],  # fmt: skip
            'fault_tolerance': {
                'machine_losses': 1, 'zones': 0, 'region_losses': 0,
            },  # fmt: skip
            'bounds': {
                'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000,
                'ack_timeout_ms': 4000, 'catchup_s': 4.5,
                'drain_timeout_ms': 2000, 'grace_period_s': 8,
                'loss_slack_ms': 200, 'config_deadline_ms': 2000,
                'rollback_slack_ms': 250, 'skew_max_ms': 5000,
                'recovery_s': 12, 'pass_ms': 120, 'retry_after_s': 0,
                'deadline_s': 10, 'settle_ms': 1000, 'ttl_max_s': 5,
            },  # fmt: skip
            'platform': {
                'address': self.world.store.address, 'form': 'table',
                'writes_per_s': 800, 'reads_per_s': 2000, 'txn_ms': 5.0,
                'part_writes_s': 200, 'row_bytes': 65536, 'across': False,
                'history_s': 20, 'blob_bytes': 8388608, 'blob_ms': 25.0,
                'blob_mb_s': 80.0,
            },  # fmt: skip
        }  # fmt: skip

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record.write(f'signal {number.name} to {self.name}')
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the platform's readiness check succeeds."""
        try:
            answer = await request(
                self.ready, 'GET', '/-/readyz', [], seconds=1
            )
        except OSError:
            return False
        return answer.status == 200


def read_memory(instance):
    """Return the bytes of a process that are not backed by files."""
    try:
        with open(f'/proc/{instance.process.pid}/status') as status:
            for line in status:
                if line.startswith('RssAnon'):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


class Platform:
    """Kills a process above its memory, and starts it again."""

    def __init__(self, world, instances):
        self._world, self._instances = world, instances
        self.ends = {instance.name: 0 for instance in instances}
        self.most = {instance.name: 0 for instance in instances}

    async def run(self):
        """Watch all processes."""
        await asyncio.gather(*(self._watch(one) for one in self._instances))

    async def _watch(self, instance):
        while True:
            await asyncio.sleep(0.02)
            used = read_memory(instance)
            self.most[instance.name] = max(self.most[instance.name], used)
            if used <= MEMORY_BYTES and instance.process.poll() is None:
                continue
            self.ends[instance.name] += 1
            self._world.record.write(
                f'{instance.name} holds {used} bytes and is killed: end'
                f' {self.ends[instance.name]}'
            )
            instance.process.kill()
            instance.process.wait()
            await asyncio.sleep(1.0)
            instance.start()


class Answer:
    """What a client got; ``status`` 0 if there was no whole head."""

    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b''
        self.is_whole = False
        self.seconds = 0.0

    def __repr__(self):
        whole = 'whole' if self.is_whole else 'cut'
        return f'{self.status} {whole} {self.body!r}'


async def request(
    address, method, path, fields, body=b'', seconds=10.0, connection=None
):
    """Send a request and return the answer."""
    started_at = time.monotonic()
    answer = Answer()
    own = connection is None
    if own:
        connection = await connect(address)
    reader, writer = connection
    try:
        writer.write(encode_request(method, path, fields, body))
        async with asyncio.timeout(seconds):
            await read_answer(reader, answer)
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        answer.seconds = time.monotonic() - started_at
        if own:
            writer.close()
    return answer


async def connect(address):
    """Return the reader and the writer of a new connection."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


def encode_request(method, path, fields, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}']
    lines += [f'{name}: {value}' for name, value in fields]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def read_answer(reader, answer, on_part=None):
    """Read one answer; parts of the body are there if it breaks off."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        name, _, value = line.partition(':')
        answer.fields[name.strip().lower()] = value.strip()
    if answer.fields.get('transfer-encoding') == 'chunked':
        while True:
            line = await reader.readline()
            if not line:
                return
            size = int(line, 16)
            if not size:
                break
            answer.body += await reader.readexactly(size)
            await reader.readline()
            if on_part is not None:
                on_part()
        await reader.readline()
    else:
        length = int(answer.fields.get('content-length') or 0)
        while len(answer.body) < length:
            part = await reader.read(length - len(answer.body))
            if not part:
                return
            answer.body += part
    answer.is_whole = True


def make_id():
    """Return a new request id."""
    return secrets.token_hex(8)


def make_fields(request, deadline_ms=4000, **more):
    """Return the fields of a request; names follow X-Vanillayoke-."""
    fields = [
        (PREFIX + 'Request-Id', request),
        (PREFIX + 'Deadline-Ms', str(deadline_ms)),
    ]
    fields += [
        (PREFIX + name.replace('_', '-').title(), str(value))
        for name, value in more.items()
    ]
    return fields


def make_turn_fields(
    request, program, budget, most, previous='', deadline_ms=4000, **more
):
    """Return the fields of a turn."""
    fields = make_fields(
        request,
        deadline_ms,
        model='m',
        program_id=program,
        session_id=f'{program}.0',
        program_deadline_ms=60000,
        token_budget=budget,
        token_usage=f'100,{most}',
        prompt_prefix='5c1e07a2:80,91bd3f06:20',
        **more,
    )
    if previous:
        fields.append((PREFIX + 'Previous-Turn', previous))
    return fields


def make_route(name, kind, service, **more):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 4000,
        'slo_ms': 250,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'retain_history': False,
        'session_affinity': False,
        'resumable': False,
        **more,
    }


def make_configuration(version, routes, services, tokens_per_event=10):
    """Return a configuration; ``services`` maps names to whether LLM."""
    listed = []
    for name, is_engine in services.items():
        service = {
            'name': name,
            'health_path': '/healthz',
            'max_conns': 180,
            'protocol': 'h1',
            'tls_mode': False,
        }
        if is_engine:
            service['engine_kind'] = {
                'slot_count': 16,
                'kv_capacity': 174798,
                'tokens_per_event': tokens_per_event,
                'pin_ms': 4000.0,
                'model_list': [{'name': 'm'}],
            }
        listed.append(service)
    return {
        'version': version,
        'routes': routes,
        'services': listed,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


class Link:
    """A proxy on the way to an address; ``mode`` pass, hold or reset."""

    def __init__(self, host, port, to):
        self.address = f'{host}:{port}'
        self._host, self._port, self._to = host, port, to
        self.open = asyncio.Event()
        self.open.set()
        self.pairs = set()

    async def start(self):
        """Listen."""
        self.listener = await asyncio.start_server(
            self._serve, self._host, self._port
        )

    def reset_all(self):
        """Reset all open connections."""
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    async def _serve(self, reader, writer):
        host, _, port = self._to.rpartition(':')
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, far[1])
        self.pairs.add(pair)
        await asyncio.gather(
            self._forward(reader, far[1]),
            self._forward(far[0], writer),
            return_exceptions=True,
        )
        self.pairs.discard(pair)
        for one in pair:
            one.close()

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
            writer.write_eof()
        except OSError:
            reset(writer)


def _find_free_network():
    """Return three numbers of loopback addresses whose ports are free."""
    while True:
        number = random.randrange(20 * 250)
        network = f'127.{60 + number // 250}.{number % 250 + 1}'
        if all(_is_free(f'{network}.{host}', port) for host, port in _USED):
            return network


def _is_free(host, port):
    with socket.socket() as found:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            found.bind((host, port))
        except OSError:
            return False
    return True


class World:
    """The processes and stand-ins of one script."""

    def __init__(self, record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix='review-2-')
        self.folder = pathlib.Path(self._temporary.name)
        self._network = _find_free_network()
        self.store = Store(self.make_host(1))
        self.instances = []

    def make_host(self, number):
        """Return a loopback address of this script."""
        return f'{self._network}.{number}'

    async def wait_ready(self, instances, seconds=20.0):
        """Wait until instances are ready and know one another."""
        async with asyncio.timeout(seconds):
            for instance in instances:
                while True:
                    if await self._is_usable(instance, instances):
                        break
                    await asyncio.sleep(0.1)

    async def _is_usable(self, instance, instances):
        if not await instance.is_ready():
            return False
        path = f'/-/resolve?name={HOST_NAME}&region=r1&zone=z1'
        answer = await request(
            f'{instance.host}:8143', 'GET', path, [], seconds=1
        )
        if answer.status != 200:
            return False
        found = set(json.loads(answer.body)['addresses'])
        return {one.front for one in instances} <= found

    def stop(self):
        """End all processes that were started."""
        for instance in self.instances:
            process = instance.process
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()


def run_case(folder, case):
    """Run ``case(world, has_trouble)``; return the exit status.

    The case returns a list of what broke the rule.
    """
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        # Stand-ins that are cancelled at the end have nothing to report.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # All processes are ended then, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(record)
        try:
            await world.store.start()
            async with asyncio.timeout(110):
                return await case(world, has_trouble)
        finally:
            if os.environ.get('KEEP_LOGS'):
                for instance in world.instances:
                    sys.stderr.write(instance.log.read_text())
            world.stop()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'could not run: {error!r}')
        record.close()
        print(f'could not run: {error!r}')
        return 2
    for text in broken:
        record.write(f'BROKEN: {text}')
        print(f'BROKEN: {text}')
    record.write('the rule was broken' if broken else 'the rule held')
    print('the rule was broken' if broken else 'the rule held')
    record.close()
    return 1 if broken else 0
