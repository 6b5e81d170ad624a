"""Which models an engine should get by the operators' settings alone.

Every instance decides for the engines it gives orders to, from what all
engines report, and so without asking another one. Two whose views differ
load at worst a copy too many.
"""

import typing

from vanillayoke.core import ids
from vanillayoke.settings import configuration

# A copy has to be missing this long before another engine loads the model:
# an engine that restarts is sooner back than a load elsewhere is done.
MISSING_PATIENCE = 15.0
# A load that takes longer than this is not begun, in seconds.
LOAD_WINDOW = 600.0

Models = typing.Mapping[str, configuration.ModelSettings]
Versions = typing.Mapping[str, str]


class EngineCopies(typing.NamedTuple):
    """A usable engine and the models that it reports as loaded."""

    target: str
    zone: str
    models: frozenset[str]


class CopyPlanner:
    """Finds the models that engines must get; remembers since when."""

    def __init__(self, patience: float = MISSING_PATIENCE) -> None:
        self._patience = patience
        self._missing_since: dict[str, float] = {}

    def choose(
        self,
        engines: typing.Sequence[EngineCopies],
        models: Models,
        now: float,
    ) -> dict[str, frozenset[str]]:
        """Return the models that each usable engine must have or get.

        Pinned models are due at once, copies up to the minimum once they
        have been missing for a while.
        """
        chosen: dict[str, set[str]] = {one.target: set() for one in engines}
        for name, settings in models.items():
            for target in chosen.keys() & set(settings.pinned):
                chosen[target].add(name)
            missing = list_missing_copies(name, settings, engines)
            if self._is_overdue(name, bool(missing), now):
                for target in missing:
                    chosen[target].add(name)
        return {target: frozenset(names) for target, names in chosen.items()}

    def _is_overdue(self, model: str, is_missing: bool, now: float) -> bool:
        if not is_missing:
            self._missing_since.pop(model, None)
            return False
        since = self._missing_since.setdefault(model, now)
        return now - since >= self._patience


def list_missing_copies(
    model: str,
    settings: configuration.ModelSettings,
    engines: typing.Sequence[EngineCopies],
) -> list[str]:
    """Return the engines that should load a model to reach its minimum.

    Zones with the fewest copies come first, then the order of rendezvous
    hashing: an engine that is loading stays the choice until it is done.
    """
    copies: dict[str, int] = {one.zone: 0 for one in engines}
    lacking = []
    for one in engines:
        if model in one.models or one.target in settings.pinned:
            copies[one.zone] += 1
        else:
            lacking.append(one)
    found: list[str] = []
    while lacking and sum(copies.values()) < settings.minimum_copies:
        best = min(
            lacking,
            key=lambda one: (
                copies[one.zone],
                ids.hash_key(model, one.target),
            ),
        )
        lacking.remove(best)
        copies[best.zone] += 1
        found.append(best.target)
    return found


def may_roll(
    target: str,
    model: str,
    version: str,
    loaded: typing.Mapping[str, Versions],
) -> bool:
    """Tell whether it is an engine's turn to go to another version.

    ``loaded`` holds what each reachable engine has. They go in the order of
    their names; one that cannot load the version holds up all behind it, so
    that a version that does not load costs one engine at most.
    """
    return all(
        versions[model] == version
        for other, versions in loaded.items()
        if other < target and model in versions
    )


def fits_window(size: int, rate: float, others: int) -> bool:
    """Tell whether a load can finish in its window.

    ``size`` is in bytes; the weight store's ``rate``, in bytes a second, is
    shared with ``others`` loads that go on.
    """
    return size * (others + 1) <= rate * LOAD_WINDOW
