"""How turns are placed and ordered, as data; the product's way and others."""

import typing

from vanillayoke.emulator import engines as engines_module
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import urgency


class Counted(typing.NamedTuple):
    """The emptiest of a few, by counts kept at the engines' homes."""


class Reported(typing.NamedTuple):
    """By what engines reported to the one instance that chooses."""


class Sticky(typing.NamedTuple):
    """The engine that the session had last, else any."""


class Drawn(typing.NamedTuple):
    """Any engine."""


class Exact(typing.NamedTuple):
    """The emptiest of all at this very moment: no system can know it."""


Placement = Counted | Reported | Sticky | Drawn | Exact


class BySlack(typing.NamedTuple):
    """What a program may still lose decides, as in the product."""


class FirstCome(typing.NamedTuple):
    """Turns are served as they come."""


Order = BySlack | FirstCome


class Policy(typing.NamedTuple):
    """A way to place turns and a way to order them."""

    placement: Placement
    order: Order


POLICIES = {
    'counted': Policy(Counted(), BySlack()),
    'reported': Policy(Reported(), BySlack()),
    'exact': Policy(Exact(), BySlack()),
    'counted, first come': Policy(Counted(), FirstCome()),
    'reported, first come': Policy(Reported(), FirstCome()),
    'sticky, first come': Policy(Sticky(), FirstCome()),
    'drawn, first come': Policy(Drawn(), FirstCome()),
}


class Place(typing.NamedTuple):
    """What a choice can see."""

    engines: typing.Sequence[engines_module.Engine]
    view: occupancy.Occupancy
    counts: load_counts.LoadCounts
    favourite: str | None
    zone: str
    passed: frozenset[str]
    draw: typing.Callable[[], float]


def choose(
    placement: Placement, place: Place, now: float
) -> engines_module.Engine | None:
    """Return the engine for a turn, ``None`` if none has room."""
    usable = [one for one in place.engines if one.name not in place.passed]
    if not usable:
        return None
    match placement:
        case Counted() | Reported():
            return _choose_as_product(placement, place, now)
        case Sticky():
            for one in usable:
                if one.name == place.favourite:
                    return one
            return usable[int(place.draw() * len(usable))]
        case Drawn():
            return usable[int(place.draw() * len(usable))]
        case Exact():
            return min(usable, key=lambda one: one.load)


def _choose_as_product(
    placement: Placement, place: Place, now: float
) -> engines_module.Engine | None:
    places = [
        occupancy.Candidate(one.name, one.slots, one.zone)
        for one in place.engines
    ]
    wish = occupancy.PlacementCriteria(place.favourite, place.zone)
    if isinstance(placement, Reported):
        found = occupancy.choose_by_own_view(
            places, place.view, wish, place.passed, now, place.draw
        )
    else:
        found = _choose_by_counts(places, wish, place, now)
    if found is None:
        return None
    return next(one for one in place.engines if one.name == found.name)


def _choose_by_counts(
    places: list[occupancy.Candidate],
    wish: occupancy.PlacementCriteria,
    place: Place,
    now: float,
) -> occupancy.Candidate | None:
    near, far = occupancy.choose_candidates(
        places, place.view, wish, place.passed, now, place.draw
    )
    loads = {one.name: place.counts.get_load(one.name, now) for one in near}
    best = occupancy.choose_least_loaded(
        near, loads, place.view, wish, now, place.draw
    )
    if best is not None and occupancy.is_lightly_loaded(
        best, loads, place.view, wish
    ):
        return best
    loads |= {one.name: place.counts.get_load(one.name, now) for one in far}
    return occupancy.choose_least_loaded(
        [*near, *far], loads, place.view, wish, now, place.draw
    )


def rank(order: Order, slack: program_slack.Slack, priority: int) -> int:
    """Return the urgency that an engine is told."""
    match order:
        case BySlack():
            return urgency.get_level(slack, priority)
        case FirstCome():
            return urgency.DEFAULT_LEVEL
