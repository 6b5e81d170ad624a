"""What has to be known of others before an engine loads weights."""

import asyncio
import typing

from vanillayoke.cluster import orders
from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.node import parts
from vanillayoke.platform import ports as platform_ports
from vanillayoke.scheduling import models as model_plans
from vanillayoke.targets import ports

# So long is what was read good for, in seconds.
_LIFETIME = 3.0

States = dict[str, ports.EngineState]


class _Weights(typing.NamedTuple):
    sizes: dict[tuple[str, str], int]
    rate: float


class Survey:
    """Reads the other engines' states and the weight store, when asked."""

    def __init__(
        self,
        adapters: parts.Adapters,
        weights: platform_ports.WeightStore,
        clock: timers.TimerService,
    ) -> None:
        self._adapters = adapters
        self._store = weights
        self._clock = clock
        self._states: States = {}
        self._states_until = float('-inf')
        self._weights: _Weights | None = None
        self._weights_until = float('-inf')

    async def may_roll(
        self,
        target: str,
        model: str,
        version: str,
        engines: typing.Collection[str],
    ) -> bool:
        """Tell whether a target may go to another version of a model now."""
        states = await self._read_states(engines)
        loaded = {
            name: states[name].loaded if name in states else None
            for name in engines
        }
        return model_plans.may_roll(target, model, version, loaded)

    async def list_postponed(
        self,
        target: str,
        loads: typing.Sequence[orders.Step],
        engines: typing.Collection[str],
    ) -> frozenset[str]:
        """Return the models whose load could not finish in its window.

        While the weight store cannot be asked no engine can read from it
        either, so that all loads wait.
        """
        weights = await self._read_weights()
        if weights is None:
            return frozenset(step.subject for step in loads)
        states = await self._read_states(engines)
        others = sum(
            len(state.loading)
            for name, state in states.items()
            if name != target
        )
        postponed = set()
        for step in loads:
            # What the catalogue does not list yet cannot be judged; an
            # engine that does not get the weights refuses by itself.
            size = weights.sizes.get((step.subject, step.version), 0)
            if model_plans.fits_window(size, weights.rate, others):
                others += 1
            else:
                postponed.add(step.subject)
        return frozenset(postponed)

    async def _read_states(self, engines: typing.Collection[str]) -> States:
        """Return the states of all engines that can be reached."""
        if self._clock.now() < self._states_until:
            return self._states
        found = await asyncio.gather(*map(self._read_state, engines))
        self._states = {
            name: state
            for name, state in zip(engines, found, strict=True)
            if isinstance(state, ports.EngineState)
        }
        self._states_until = self._clock.now() + _LIFETIME
        return self._states

    async def _read_state(
        self, target: str
    ) -> ports.EngineState | None | failures.Failure:
        engine = self._adapters.get_engine(target)
        return None if engine is None else await engine.read_state()

    async def _read_weights(self) -> _Weights | None:
        if self._clock.now() < self._weights_until:
            return self._weights
        listed = await self._store.list_weights()
        rate = await self._store.read_rate()
        self._weights = None
        if not failures.is_failure(listed) and not failures.is_failure(rate):
            sizes = {(one.name, one.version): one.size for one in listed}
            self._weights = _Weights(sizes, rate)
        self._weights_until = self._clock.now() + _LIFETIME
        return self._weights
