"""Placement of model copies on engines according to the settings.

Every instance decides for the engines that it controls by the reports of all
engines, without coordination. Instances with different views may load
superfluous copies.
"""

import typing

from vanillayoke.core import ids
from vanillayoke.settings import configuration

# A restarting engine returns before another one could load the model.
MISSING_COPY_DELAY_SECONDS = 15.0
# Superfluous copies of a model are unloaded one after another.
SPARE_COPY_DELAY_SECONDS = 600.0
SPARE_COPY_INTERVAL_SECONDS = 30.0
# Loads that would take longer are not started.
MAX_LOAD_SECONDS = 600.0

Models = typing.Mapping[str, configuration.ModelSettings]
Versions = typing.Mapping[str, str]


class EngineCopies(typing.NamedTuple):
    """A usable engine and the models that it reports as loaded."""

    target: str
    zone: str
    models: frozenset[str]


class CopyPlan(typing.NamedTuple):
    """The models that an engine must have and those that it may unload.

    Only copies that were loaded by an order may be unloaded.
    """

    needed: frozenset[str] = frozenset()
    spare: frozenset[str] = frozenset()


class CopyPlanner:
    """Plans model copies by how long they have been missing or spare."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, str], float] = {}

    def choose(
        self,
        engines: typing.Sequence[EngineCopies],
        models: Models,
        now: float,
    ) -> dict[str, CopyPlan]:
        """Return the plan for each usable engine.

        Pinned models are loaded at once. Copies below the minimum are loaded
        and superfluous ones unloaded after a delay.
        """
        needed: dict[str, set[str]] = {
            engine.target: set() for engine in engines
        }
        spare: dict[str, set[str]] = {
            engine.target: set() for engine in engines
        }
        since: dict[tuple[str, str], float] = {}
        for name, settings in models.items():
            for target in needed.keys() & set(settings.pinned):
                needed[target].add(name)
            missing = list_missing_copies(name, settings, engines)
            if missing:
                key = (name, '')
                since[key] = self._since.get(key, now)
                if now - since[key] >= MISSING_COPY_DELAY_SECONDS:
                    for target in missing:
                        needed[target].add(name)
            spare_targets = list_spare_copies(name, settings, engines)
            for rank, target in enumerate(spare_targets):
                key = (name, target)
                since[key] = self._since.get(key, now)
                delay = (
                    SPARE_COPY_DELAY_SECONDS
                    + rank * SPARE_COPY_INTERVAL_SECONDS
                )
                if now - since[key] >= delay:
                    spare[target].add(name)
        self._since = since
        return {
            target: CopyPlan(frozenset(names), frozenset(spare[target]))
            for target, names in needed.items()
        }


def list_missing_copies(
    model: str,
    settings: configuration.ModelSettings,
    engines: typing.Sequence[EngineCopies],
) -> list[str]:
    """Return the engines that should load a model to reach its minimum.

    The result does not change while an engine is loading the model.
    """
    available = []
    having = []
    for engine in engines:
        has_copy = model in engine.models or engine.target in settings.pinned
        (having if has_copy else available).append(engine)
    return _choose_engines(model, settings.minimum_copies, having, available)


def list_spare_copies(
    model: str,
    settings: configuration.ModelSettings,
    engines: typing.Sequence[EngineCopies],
) -> list[str]:
    """Return the engines with copies beyond the minimum.

    All instances that have the same reports get the same result.
    """
    having = [engine for engine in engines if model in engine.models]
    pinned = [engine for engine in having if engine.target in settings.pinned]
    others = [
        engine for engine in having if engine.target not in settings.pinned
    ]
    needed = _choose_engines(model, settings.minimum_copies, pinned, others)
    return sorted(
        engine.target for engine in others if engine.target not in needed
    )


def _choose_engines(
    model: str,
    count: int,
    having: typing.Sequence[EngineCopies],
    candidates: typing.Sequence[EngineCopies],
) -> list[str]:
    """Choose candidates to reach ``count`` copies, including those in having.

    Zones with the fewest copies come first, then the order of rendezvous
    hashing.
    """
    copies = {engine.zone: 0 for engine in candidates}
    copies.update((engine.zone, 0) for engine in having)
    for engine in having:
        copies[engine.zone] += 1
    remaining = list(candidates)
    chosen: list[str] = []
    while remaining and len(having) + len(chosen) < count:
        best = min(
            remaining,
            key=lambda engine: (
                copies[engine.zone],
                ids.hash_key(model, engine.target),
            ),
        )
        remaining.remove(best)
        copies[best.zone] += 1
        chosen.append(best.target)
    return chosen


def may_roll(
    target: str,
    model: str,
    version: str,
    loaded: typing.Mapping[str, Versions | None],
) -> bool:
    """Return whether an engine may switch to another version of a model.

    ``loaded`` holds the versions on each healthy engine; ``None`` for an
    engine that did not respond, which may be loading. Engines switch in the
    order of their names. One that fails to load the version blocks all later
    ones, so that a broken version affects at most one engine.
    """
    return all(
        versions is not None and versions.get(model, version) == version
        for other, versions in loaded.items()
        if other < target
    )


def fits_window(size: int, rate: float, others: int) -> bool:
    """Return whether a load can finish within ``MAX_LOAD_SECONDS``.

    ``size`` is in bytes. The weight store's ``rate`` in bytes per second is
    shared with ``others``, the number of other loads in progress.
    """
    return size * (others + 1) <= rate * MAX_LOAD_SECONDS
