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
# A copy has to be needless this long before it is unloaded, and each further
# copy of the model a little longer: the copies so never go all at once.
SPARE_PATIENCE = 600.0
SPARE_STAGGER = 30.0
# A load that takes longer than this is not begun, in seconds.
LOAD_WINDOW = 600.0

Models = typing.Mapping[str, configuration.ModelSettings]
Versions = typing.Mapping[str, str]


class EngineCopies(typing.NamedTuple):
    """A usable engine and the models that it reports as loaded."""

    target: str
    zone: str
    models: frozenset[str]


class CopyPlan(typing.NamedTuple):
    """What an engine must have, and what it may let go if it was ordered."""

    needed: frozenset[str] = frozenset()
    spare: frozenset[str] = frozenset()


class CopyPlanner:
    """Finds the models that engines must get; remembers since when."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, str], float] = {}

    def choose(
        self,
        engines: typing.Sequence[EngineCopies],
        models: Models,
        now: float,
    ) -> dict[str, CopyPlan]:
        """Return the plan for each usable engine.

        Pinned models are due at once, copies up to the minimum once they
        have been missing for a while, and needless ones much later.
        """
        needed: dict[str, set[str]] = {one.target: set() for one in engines}
        spare: dict[str, set[str]] = {one.target: set() for one in engines}
        since: dict[tuple[str, str], float] = {}
        for name, settings in models.items():
            for target in needed.keys() & set(settings.pinned):
                needed[target].add(name)
            missing = list_missing_copies(name, settings, engines)
            if missing:
                key = (name, '')
                since[key] = self._since.get(key, now)
                if now - since[key] >= MISSING_PATIENCE:
                    for target in missing:
                        needed[target].add(name)
            found = list_spare_copies(name, settings, engines)
            for rank, target in enumerate(found):
                key = (name, target)
                since[key] = self._since.get(key, now)
                patience = SPARE_PATIENCE + rank * SPARE_STAGGER
                if now - since[key] >= patience:
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

    An engine that is loading stays the choice until it is done.
    """
    lacking = []
    counted = []
    for one in engines:
        there = model in one.models or one.target in settings.pinned
        (counted if there else lacking).append(one)
    return _spread(model, settings.minimum_copies, counted, lacking)


def list_spare_copies(
    model: str,
    settings: configuration.ModelSettings,
    engines: typing.Sequence[EngineCopies],
) -> list[str]:
    """Return the engines whose copies the minimum does not need.

    All instances agree on which copies these are, as far as they see the
    same reports.
    """
    having = [one for one in engines if model in one.models]
    counted = [one for one in having if one.target in settings.pinned]
    others = [one for one in having if one.target not in settings.pinned]
    kept = _spread(model, settings.minimum_copies, counted, others)
    return sorted(one.target for one in others if one.target not in kept)


def _spread(
    model: str,
    count: int,
    counted: typing.Sequence[EngineCopies],
    choices: typing.Sequence[EngineCopies],
) -> list[str]:
    """Choose engines so that there are ``count`` with the ``counted`` ones.

    Zones with the fewest copies come first, then the order of rendezvous
    hashing.
    """
    copies = {one.zone: 0 for one in choices}
    copies.update((one.zone, 0) for one in counted)
    for one in counted:
        copies[one.zone] += 1
    left = list(choices)
    found: list[str] = []
    while left and len(counted) + len(found) < count:
        best = min(
            left,
            key=lambda one: (
                copies[one.zone],
                ids.hash_key(model, one.target),
            ),
        )
        left.remove(best)
        copies[best.zone] += 1
        found.append(best.target)
    return found


def may_roll(
    target: str,
    model: str,
    version: str,
    loaded: typing.Mapping[str, Versions | None],
) -> bool:
    """Tell whether it is an engine's turn to go to another version.

    ``loaded`` holds what each healthy engine has, ``None`` for one that did
    not answer. They go in the order of their names; one that cannot load
    the version holds up all behind it, so that a version that does not load
    costs one engine at most. One that did not answer may be loading.
    """
    return all(
        versions is not None and versions.get(model, version) == version
        for other, versions in loaded.items()
        if other < target
    )


def fits_window(size: int, rate: float, others: int) -> bool:
    """Tell whether a load can finish in its window.

    ``size`` is in bytes; the weight store's ``rate``, in bytes a second, is
    shared with ``others`` loads that go on.
    """
    return size * (others + 1) <= rate * LOAD_WINDOW
