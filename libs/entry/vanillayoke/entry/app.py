"""The callers' interface of one process as an aiohttp application."""

import logging
import typing

from aiohttp import web

from vanillayoke.core import timers as core_timers
from vanillayoke.entry import calls
from vanillayoke.entry import contexts
from vanillayoke.entry import forwarding
from vanillayoke.entry import guards
from vanillayoke.entry import health
from vanillayoke.entry import host as entry_host
from vanillayoke.entry import inflight
from vanillayoke.entry import operators
from vanillayoke.entry import programs
from vanillayoke.settings import process

# Time for callers to read an error answer before their connection closes.
LINGERING_TIME = 2.0
KEEP_ALIVE = 30.0
# Streams are over by then; this bounds what still clings to its connection.
CLOSING_TIMEOUT = 1.0

_PROGRAM = '/v1/programs/{program}'
_HEALTH = '/healthz'
_READY = '/readyz'
ROUTES = (
    web.route('GET', _HEALTH, health.check_live),
    web.route('GET', _READY, health.check_ready),
    web.route('GET', '/v1/addresses', health.list_addresses),
    web.route('POST', '/v1/programs', programs.open_program),
    web.route('GET', _PROGRAM, programs.show_program),
    web.route('POST', f'{_PROGRAM}/children', programs.open_child),
    web.route('GET', f'{_PROGRAM}/history', programs.show_history),
    web.route('POST', f'{_PROGRAM}/cancel', programs.cancel_call),
    web.route('POST', f'{_PROGRAM}/end', programs.end_program),
    web.route('POST', f'{_PROGRAM}/calls', calls.start_call),
    web.route(
        'GET',
        f'{_PROGRAM}/calls/{{number:[0-9]{{1,15}}}}/stream',
        calls.resume_stream,
    ),
    web.route(
        'POST',
        '/operator/v1/{command:[a-z0-9_-]{1,64}}',
        operators.run_command,
    ),
)


# aiohttp logs malformed requests with their bytes, which may hold a client's
# text; handlers' faults are reported apart from it.
_SILENT = logging.Logger('silent', logging.CRITICAL + 1)


def _log_fault(error: Exception) -> None:
    logging.getLogger(__name__).error('a request failed', exc_info=error)


class EntryApp:
    """Serves callers on one address until it is drained and finished."""

    def __init__(
        self,
        context: contexts.Context,
        extra_routes: typing.Sequence[web.RouteDef] = (),
        report_fault: guards.FaultReport = _log_fault,
    ) -> None:
        self._context = context
        open_paths = {_HEALTH, _READY, *(one.path for one in extra_routes)}
        self.application = web.Application(
            middlewares=[
                guards.answer_faults,
                guards.authenticate,
                guards.show_progress,
            ]
        )
        self.application[contexts.KEY] = context
        self.application[guards.FAULT_REPORT] = report_fault
        self.application[guards.OPEN_PATHS] = frozenset(open_paths)
        self.application.add_routes([*ROUTES, *extra_routes])
        self.application.on_response_prepare.append(guards.finish_head)
        self._runner: web.AppRunner | None = None

    @classmethod
    def from_config(
        cls,
        settings: process.EntrySettings,
        host: entry_host.Host,
        timers: core_timers.TimerService,
        *,
        extra_routes: typing.Sequence[web.RouteDef] = (),
        report_fault: guards.FaultReport = _log_fault,
        heartbeat: float = contexts.HEARTBEAT_INTERVAL,
    ) -> 'EntryApp':
        """Build the application.

        ``extra_routes`` are served without a key. ``report_fault`` gets
        each unforeseen exception; ``heartbeat`` is in seconds.
        """
        requests = inflight.Requests()
        context = contexts.Context(
            host=host,
            settings=settings,
            timers=timers,
            forwarder=forwarding.Forwarder(
                timers, settings.slow_reader_timeout, heartbeat, requests
            ),
            requests=requests,
            drain=contexts.DrainState(),
            heartbeat=heartbeat,
        )
        return cls(context, extra_routes, report_fault)

    async def start(self, address: str, port: int) -> tuple[str, int]:
        """Listen and return the address; port 0 takes a free one.

        Raise ``OSError`` where the address cannot be had.
        """
        await self._context.forwarder.start()
        self._runner = web.AppRunner(
            self.application,
            access_log=None,
            auto_decompress=False,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE,
            lingering_time=LINGERING_TIME,
            logger=_SILENT,
            shutdown_timeout=CLOSING_TIMEOUT,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()
        return self._runner.addresses[0][:2]

    @property
    def in_flight(self) -> int:
        """Return how many callers wait for an answer or read a stream."""
        return len(self._context.requests)

    def begin_drain(self) -> None:
        """Refuse new work and close connections after their answer."""
        self._context.drain.is_draining = True

    async def finish(self) -> None:
        """Let streams end within the grace, then close everything."""
        self.begin_drain()
        context = self._context
        await context.requests.wait(
            context.timers, context.settings.drain_grace
        )
        context.requests.cut()
        if self._runner is not None:
            await self._runner.cleanup()
        await context.forwarder.finish()
