"""One process: real connections around an instance, signals, exit status."""

import asyncio
import random
import signal
import sys
import typing

import aiohttp
from aiohttp import web
import msgspec

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.entry import app
from vanillayoke.node import instance
from vanillayoke.node import operations
from vanillayoke.node import surroundings
from vanillayoke.peers import nng
from vanillayoke.platform import http
from vanillayoke.settings import process
from vanillayoke.targets import credentials
from vanillayoke.targets import registry

VERSION = '0.1.0'
EXIT_OK = 0
EXIT_FAILED = 1
_PEER_TIMEOUT = 5.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class OperatorLink(operations.PeerOperations):
    """Asks other instances over their entry addresses."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def ask(
        self, address: str, key: str, command: str, arguments: dict[str, str]
    ) -> operations.Answer | failures.Failure:
        """Return the other instance's answer."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=_PEER_TIMEOUT)
            )
        try:
            async with self._session.post(
                f'http://{address}/operator/v1/{command}',
                data=msgspec.json.encode({'arguments': arguments}),
                headers={'Authorization': f'Bearer {key}'},
            ) as response:
                body = await response.read()
                if response.ok:
                    return msgspec.json.decode(body)
        except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
            return failures.Failure(
                failures.Kind.NOT_OWNER, f'{address}: {error!r}', 1.0
            )
        return failures.Failure(
            failures.Kind.NOT_FOUND, 'there is no such program'
        )

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


class Process:
    """Serves until a signal or an operator ends it.

    An instance whose lease was taken over is replaced by a new incarnation
    in the same process: nobody is there at night to start it again.
    """

    def __init__(
        self, settings: process.ProcessSettings, output: typing.IO[str]
    ) -> None:
        self._settings = settings
        self._output = output
        self._stop_reason: asyncio.Future[str] | None = None

    async def serve(self) -> int:
        """Serve; return the exit status."""
        loop = asyncio.get_running_loop()
        clock = timers.LoopTimers(loop)
        log_output = logs.start_logging(self._output)
        logger = logs.Logger.from_config(
            self._settings.instance.name,
            clock,
            self._settings.timeline_events,
            log_output,
        )
        began = clock.now()
        logger.write(
            events.PROCESS_STARTED,
            version=VERSION,
            zone=self._settings.instance.zone,
        )
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(
                number, self._request_stop, signal.Signals(number).name
            )
        reason = instance.LEASE_LOST
        while reason == instance.LEASE_LOST:
            reason = await self._serve_incarnation(clock, logger)
        logger.write(
            events.PROCESS_STOPPED, seconds=round(clock.now() - began, 3)
        )
        log_output.close()
        return EXIT_OK if reason is not None else EXIT_FAILED

    def _request_stop(self, reason: str) -> None:
        if self._stop_reason is not None and not self._stop_reason.done():
            self._stop_reason.set_result(reason)

    async def _serve_incarnation(
        self, clock: timers.TimerService, logger: logs.Logger
    ) -> str | None:
        """Serve as one incarnation; return why it ended.

        ``None`` stands for an address that cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._stop_reason = loop.create_future()
        settings = self._settings
        transport = nng.NngTransport.from_config(loop, settings.instance)
        if failures.is_failure(transport):
            print(transport.reason, file=sys.stderr)
            return None
        platform = http.HttpPlatform.from_config(
            settings.platform, clock, settings.instance.name
        )
        adapters = registry.TargetRegistry(
            clock, _make_signing_key(settings.signing)
        )
        operators = OperatorLink()
        meters = metrics.Metrics()
        served = instance.Instance(
            settings,
            surroundings.Surroundings(
                platform=platform.ports,
                transport=transport,
                adapters=adapters,
                operators=operators,
                clock=clock,
                source=random.SystemRandom(),
                logger=logger,
                registry=meters,
            ),
        )
        served.on_stop_request(self._request_stop)
        entry = app.EntryApp.from_config(
            settings.entry,
            served.host,
            clock,
            extra_routes=[_make_metrics_route(meters)],
        )
        try:
            await _listen(entry, settings.instance)
        except OSError as error:
            print(error, file=sys.stderr)
            await transport.close()
            await platform.close()
            return None
        starting = asyncio.ensure_future(served.start())
        reason = await self._stop_reason
        starting.cancel()
        if reason == instance.LEASE_LOST:
            await served.stop()
            await entry.finish()
        else:
            await _drain(served, entry, settings.entry.drain_grace, reason)
        await adapters.close()
        await operators.close()
        await platform.close()
        return reason


async def _drain(
    served: instance.Instance, entry: app.EntryApp, grace: float, reason: str
) -> None:
    """Stop in order; the entry goes on answering until all is handed over.

    Callers that come meanwhile are passed on to the new owners.
    """
    entry.begin_drain()
    await served.drain(grace, reason)
    await entry.finish()


async def _listen(
    entry: app.EntryApp, settings: process.InstanceSettings
) -> None:
    address = settings.entry_listen or settings.entry_address
    host, _, port = address.rpartition(':')
    await entry.start(host.strip('[]'), int(port))


def _make_signing_key(
    settings: process.SigningSettings,
) -> credentials.SigningKey | None:
    if not settings.key_id:
        return None
    return credentials.SigningKey(settings.key_id, settings.secret.encode())


def _make_metrics_route(meters: metrics.Metrics) -> web.RouteDef:
    async def show(request: web.Request) -> web.Response:
        page = meters.render()
        return web.Response(
            body=page.body, headers={'Content-Type': page.content_type}
        )

    return web.get('/metrics', show)


def run(settings: process.ProcessSettings) -> int:
    """Serve with checked settings until stopped; return the exit status."""
    served = Process(settings, sys.stdout)
    return asyncio.run(served.serve())
