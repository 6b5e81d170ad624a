"""The adapters of all targets of the configuration in force."""

import ssl
import typing

from vanillayoke.core import timers
from vanillayoke.settings import configuration
from vanillayoke.targets import credentials
from vanillayoke.targets import engine_http
from vanillayoke.targets import ports
from vanillayoke.targets import service_http

ENGINE = 'engine'
SERVICE = 'service'

_Adapter = engine_http.HttpEngine | service_http.HttpService


class TargetRegistry:
    """Holds one adapter for each target.

    ``apply`` follows the configuration; adapters of targets that did not
    change stay, with their connections.
    """

    def __init__(
        self,
        clock: timers.TimerService,
        key: credentials.SigningKey | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._clock = clock
        self._key = key
        self._tls = tls
        self._settings: dict[str, configuration.TargetSettings] = {}
        self._adapters: dict[str, _Adapter] = {}

    @classmethod
    async def from_config(
        cls,
        targets: typing.Mapping[str, configuration.TargetSettings],
        clock: timers.TimerService,
        key: credentials.SigningKey | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> 'TargetRegistry':
        """Build the adapters of a configuration's targets."""
        registry = cls(clock, key, tls)
        await registry.apply(targets)
        return registry

    async def apply(
        self, targets: typing.Mapping[str, configuration.TargetSettings]
    ) -> None:
        """Build adapters of new targets, close those of removed ones.

        Requests that run on a removed target go on to their end.
        """
        for name, settings in list(self._settings.items()):
            if targets.get(name) != settings:
                del self._settings[name]
                await self._adapters.pop(name).close()
        for name, settings in targets.items():
            if name not in self._settings:
                self._settings[name] = settings
                self._adapters[name] = self._build(name, settings)

    def get_engine(self, name: str) -> ports.Engine | None:
        """Return an engine's adapter, ``None`` where there is none."""
        adapter = self._adapters.get(name)
        return adapter if isinstance(adapter, ports.Engine) else None

    def get_service(self, name: str) -> ports.Service | None:
        """Return a service's adapter, ``None`` where there is none."""
        adapter = self._adapters.get(name)
        return adapter if isinstance(adapter, ports.Service) else None

    async def close(self) -> None:
        """Close all adapters."""
        await self.apply({})

    def _build(
        self, name: str, settings: configuration.TargetSettings
    ) -> _Adapter:
        if settings.kind == ENGINE:
            return engine_http.HttpEngine.from_config(
                name, settings, self._clock, self._key, self._tls
            )
        return service_http.HttpService.from_config(
            settings, self._clock, self._tls
        )
