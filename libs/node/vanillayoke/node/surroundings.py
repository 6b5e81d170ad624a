"""What one instance takes from outside: ports, clock, randomness, logs."""

import random
import typing

from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.node import operations
from vanillayoke.node import parts
from vanillayoke.peers import ports as peer_ports
from vanillayoke.platform import ports as platform_ports
from vanillayoke.settings import configuration as settings_configuration


class TargetAdapters(parts.Adapters, typing.Protocol):
    """Adapters that follow the configuration."""

    async def apply(
        self,
        targets: typing.Mapping[str, settings_configuration.TargetSettings],
    ) -> None:
        """Build and close adapters to fit the configured targets."""


class Surroundings(typing.NamedTuple):
    """All that an instance takes from outside; tests pass stand-ins."""

    platform: platform_ports.Platform
    transport: peer_ports.PeerTransport
    adapters: TargetAdapters
    operators: operations.PeerOperations
    clock: timers.TimerService
    source: random.Random
    logger: logs.Logger
    registry: metrics.Metrics
