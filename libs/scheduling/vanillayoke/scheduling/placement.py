"""Which target a call goes to: expected seconds until it is done there."""

import typing

from vanillayoke.scheduling import calls
from vanillayoke.scheduling import policies
from vanillayoke.scheduling import trees
from vanillayoke.scheduling import views

PREFILL_SECONDS = 0.00005
"""Engine seconds to compute one token of a prompt."""

RESTORE_SECONDS = 0.000005
"""Seconds to import one token of exported KV cache."""

_CALL_SECONDS = 0.5
_ZONE_SECONDS = 0.002
_REGION_SECONDS = 0.06
_MOVE_SECONDS = 0.25
_GAP_CONFIDENCE = 0.98


class Location(typing.NamedTuple):
    """Where the deciding instance is."""

    zone: str
    region: str


class Choice(typing.NamedTuple):
    """The chosen target and what was weighed."""

    view: views.TargetView
    weighed: tuple[calls.Candidate, ...]


def choose(
    policy: policies.Placement,
    place: Location,
    demand: calls.CallDemand,
    member: trees.Member | None,
    able: typing.Sequence[views.TargetView],
) -> Choice:
    """Choose among targets that may take the call; at least one."""
    weighed = [
        (_weigh(policy, place, demand, member, view), number)
        for number, view in enumerate(able)
    ]
    _, best = min(weighed, key=lambda pair: (pair[0].cost, pair[1]))
    return Choice(able[best], tuple(candidate for candidate, _ in weighed))


def count_choices(policy: policies.Placement) -> int:
    """Return how many targets to draw at random."""
    match policy:
        case policies.ExpectedCompletion(choices):
            return choices
        case policies.LeastLoad(choices):
            return choices


def estimate_wait(view: views.TargetView) -> float:
    """Return the seconds until a new call would run on a target."""
    slots = max(1, view.spec.slots)
    load = view.estimate_load()
    queued = max(0, load - slots + 1)
    share = 0.05 * load / slots
    return (queued / slots + share) * _CALL_SECONDS


def _weigh(
    policy: policies.Placement,
    place: Location,
    demand: calls.CallDemand,
    member: trees.Member | None,
    view: views.TargetView,
) -> calls.Candidate:
    target = view.spec.target
    wait = estimate_wait(view)
    match policy:
        case policies.LeastLoad():
            return calls.Candidate(target, wait, 0, 'load')
        case policies.ExpectedCompletion(_, weight):
            cached = _find_cached(member, view)
            missing = max(0, demand.prefix_tokens - cached)
            prefill = _estimate_prefill(member, missing) * weight
            prefill += demand.new_tokens * PREFILL_SECONDS
            distance = _measure_distance(place, view)
            if member is not None and member.home not in ('', target):
                distance += _MOVE_SECONDS
            cost = wait + prefill + distance
            reason = f'wait {wait:.3f}, prefill {prefill:.3f}'
            return calls.Candidate(target, cost, cached, reason)


def _find_cached(member: trees.Member | None, view: views.TargetView) -> int:
    if member is None or member.home != view.spec.target:
        return 0
    confidence = _GAP_CONFIDENCE ** (view.gaps - member.gaps)
    return int(member.cached * confidence)


def _estimate_prefill(member: trees.Member | None, missing: int) -> float:
    if member is not None and member.exported:
        return missing * RESTORE_SECONDS
    return missing * PREFILL_SECONDS


def _measure_distance(place: Location, view: views.TargetView) -> float:
    if view.spec.region != place.region:
        return _REGION_SECONDS
    if view.spec.zone != place.zone:
        return _ZONE_SECONDS
    return 0.0
