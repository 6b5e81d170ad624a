"""Policies for placing and ordering turns: the product's and simple ones."""

import typing

from vanillayoke.emulator import engines as engines_module
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import urgency


class Counted(typing.NamedTuple):
    """The least loaded of a few engines, by their coordinators' counts."""


class Reported(typing.NamedTuple):
    """The least loaded engine by the load reports to one instance."""


class Sticky(typing.NamedTuple):
    """The engine of the session's previous turn, else a random engine."""


class Drawn(typing.NamedTuple):
    """A random engine."""


class Exact(typing.NamedTuple):
    """The least loaded of all engines, by their true load at this time."""


Placement = Counted | Reported | Sticky | Drawn | Exact


class BySlack(typing.NamedTuple):
    """By the urgency level that follows from the program's slack."""


class FirstCome(typing.NamedTuple):
    """In the order of arrival."""


Order = BySlack | FirstCome


class Policy(typing.NamedTuple):
    """A placement policy and an order policy."""

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


class PlacementContext(typing.NamedTuple):
    """The input of a placement decision."""

    engines: typing.Sequence[engines_module.Engine]
    occupancy: occupancy.Occupancy
    counts: load_counts.LoadCounts
    affinity_target: str | None
    zone: str
    excluded: frozenset[str]
    random_float: typing.Callable[[], float]


def choose(
    placement: Placement, context: PlacementContext, now: float
) -> engines_module.Engine | None:
    """Return the engine for a turn, ``None`` if none has room."""
    usable = [
        engine
        for engine in context.engines
        if engine.name not in context.excluded
    ]
    if not usable:
        return None
    match placement:
        case Counted() | Reported():
            return _choose_like_product(placement, context, now)
        case Sticky():
            for engine in usable:
                if engine.name == context.affinity_target:
                    return engine
            return usable[int(context.random_float() * len(usable))]
        case Drawn():
            return usable[int(context.random_float() * len(usable))]
        case Exact():
            return min(usable, key=lambda engine: engine.load)


def _choose_like_product(
    placement: Placement, context: PlacementContext, now: float
) -> engines_module.Engine | None:
    candidates = [
        occupancy.Candidate(engine.name, engine.slots, engine.zone)
        for engine in context.engines
    ]
    criteria = occupancy.PlacementCriteria(
        context.affinity_target, context.zone
    )
    if isinstance(placement, Reported):
        chosen = occupancy.choose_by_own_view(
            candidates,
            context.occupancy,
            criteria,
            context.excluded,
            now,
            context.random_float,
        )
    else:
        chosen = _choose_by_counts(candidates, criteria, context, now)
    if chosen is None:
        return None
    return next(
        engine for engine in context.engines if engine.name == chosen.name
    )


def _choose_by_counts(
    candidates: list[occupancy.Candidate],
    criteria: occupancy.PlacementCriteria,
    context: PlacementContext,
    now: float,
) -> occupancy.Candidate | None:
    local, remote = occupancy.choose_candidates(
        candidates,
        context.occupancy,
        criteria,
        context.excluded,
        now,
        context.random_float,
    )
    loads = {
        candidate.name: context.counts.get_load(candidate.name, now)
        for candidate in local
    }
    best = occupancy.choose_least_loaded(
        local, loads, context.occupancy, criteria, now, context.random_float
    )
    if best is not None and occupancy.is_lightly_loaded(
        best, loads, context.occupancy, criteria
    ):
        return best
    loads |= {
        candidate.name: context.counts.get_load(candidate.name, now)
        for candidate in remote
    }
    return occupancy.choose_least_loaded(
        [*local, *remote],
        loads,
        context.occupancy,
        criteria,
        now,
        context.random_float,
    )


def get_level(order: Order, slack: program_slack.Slack, priority: int) -> int:
    """Return the urgency level that is sent to an engine."""
    match order:
        case BySlack():
            return urgency.get_level(slack, priority)
        case FirstCome():
            return urgency.DEFAULT_LEVEL
