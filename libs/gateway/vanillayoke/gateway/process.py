"""The process of one instance: settings file, signals, metrics and log."""

import asyncio
import gc
import signal
import typing

from vanillayoke.core import events
from vanillayoke.core import lines
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import connection_limits
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import instance as instance_module
from vanillayoke.gateway import messages
from vanillayoke.transport import server

METRICS_PATH = b'/metrics'
# Outside the port range of instances.
METRICS_PORT = 9464
# Polled because the settings file may change without a signal.
SETTINGS_POLL_SECONDS = 1.0
TIMELINE_CAPACITY = 2000
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SettingsError(Exception):
    """The settings file is invalid; the message names the file and field."""


class Process:
    """Runs one instance with its settings file, log, metrics and signals.

    ``read_settings`` decodes the file at a path and raises ``SettingsError``
    if it is invalid. Log lines are written to the file descriptor
    ``descriptor`` without blocking. ``enabled_features`` and
    ``disabled_features`` go before what the file calls for.
    """

    def __init__(
        self,
        path: str,
        descriptor: int,
        read_settings: typing.Callable[[str], messages.Settings],
        dialect: dialect_module.Dialect,
        enabled_features: frozenset[messages.Feature] = frozenset(),
        disabled_features: frozenset[messages.Feature] = frozenset(),
    ) -> None:
        self._path = path
        self._decode_settings = read_settings
        self._enabled_features = enabled_features
        self._disabled_features = disabled_features
        self._settings = self._read_settings()
        # The error of the settings file as last read, None if it was valid.
        self._settings_error: str | None = None
        self._timers = timers.LoopTimers(asyncio.get_running_loop())
        self._output = lines.LineOutput(descriptor, self._timers)
        self._log = logs.Logger.from_config(
            self._settings.instance,
            self._timers,
            TIMELINE_CAPACITY,
            self._output,
        )
        self._instance = instance_module.Instance.from_config(
            self._settings,
            dialect,
            self._timers,
            self._log,
        )
        self._stop = asyncio.Event()

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until ``stop`` is called or a stop signal arrives."""
        loop = asyncio.get_running_loop()
        for signal_number in _STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload, 'signal')
        started_at = self._timers.now()
        self._log.write(
            events.PROCESS_STARTED,
            version='0.1.0',
            zone=self._settings.zone,
        )
        await self._instance.start()
        await self._serve_metrics()
        self._timers.call_every(
            SETTINGS_POLL_SECONDS, lambda: self._reload('look')
        )
        # Objects alive now are long-lived: exempt them from collection.
        gc.freeze()
        await self._stop.wait()
        await self._instance.stop()
        seconds = round(self._timers.now() - started_at, 1)
        self._log.write(events.PROCESS_STOPPED, seconds=seconds)
        self._output.flush()

    async def _serve_metrics(self) -> None:
        http_server = self._instance.make_server(
            self._handle_metrics, connection_limits.Listener.METRICS
        )
        await http_server.listen(self._settings.ip, METRICS_PORT)

    async def _handle_metrics(
        self, request: server.Request, responder: server.Responder
    ) -> None:
        if request.target != METRICS_PATH:
            responder.send(404, [], b'')
            return
        self._instance.metrics.lines_dropped.set(self._output.dropped)
        page = self._instance.render_metrics()
        content_type = (b'Content-Type', page.content_type.encode())
        responder.send(200, [content_type], page.body)

    def _read_settings(self) -> messages.Settings:
        settings = self._decode_settings(self._path)
        return settings._replace(
            enabled_features=self._enabled_features,
            disabled_features=self._disabled_features,
        )

    def _reload(self, cause: str) -> None:
        try:
            settings = self._read_settings()
        except SettingsError as error:
            text = str(error)
            # The file is polled: the same error is logged once only.
            if text != self._settings_error or cause != 'look':
                self._log.write(events.SETTINGS_REJECTED, error=text)
            self._settings_error = text
            return
        self._settings_error = None
        if settings == self._settings and cause == 'look':
            return
        self._settings = settings
        self._instance.settings = settings
        self._log.write(events.SETTINGS_CHANGED, cause=cause)


def ignore_stop_signals() -> None:
    """Ignore signals that arrive after a graceful shutdown.

    Closing the event loop restores the default signal handlers. A second
    stop signal, or one to reload the settings, would then kill the process,
    which would look like a crash.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (*_STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)
