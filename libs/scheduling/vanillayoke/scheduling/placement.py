"""Choice of a target for a call by expected completion time."""

import typing

from vanillayoke.scheduling import calls
from vanillayoke.scheduling import policies
from vanillayoke.scheduling import trees
from vanillayoke.scheduling import views

PREFILL_SECONDS = 0.00005
"""Engine time to compute one token of a prompt."""

RESTORE_SECONDS = 0.000005
"""Time to import one token of an exported KV cache."""

_AVERAGE_CALL_SECONDS = 0.5
_ZONE_LATENCY_SECONDS = 0.002
_REGION_LATENCY_SECONDS = 0.06
_MOVE_PENALTY_SECONDS = 0.25
_CONFIDENCE_PER_EVENT_GAP = 0.98


class Location(typing.NamedTuple):
    """The zone and region of the deciding instance."""

    zone: str
    region: str


class Choice(typing.NamedTuple):
    """The chosen target and all candidates."""

    view: views.TargetView
    candidates: tuple[calls.Candidate, ...]


def choose(
    policy: policies.Placement,
    location: Location,
    demand: calls.CallDemand,
    member: trees.Member | None,
    eligible: typing.Sequence[views.TargetView],
) -> Choice:
    """Choose among the eligible targets, of which there is at least one."""
    evaluated = [
        (_evaluate(policy, location, demand, member, view), index)
        for index, view in enumerate(eligible)
    ]
    _, best = min(evaluated, key=lambda pair: (pair[0].cost, pair[1]))
    return Choice(
        eligible[best], tuple(candidate for candidate, _ in evaluated)
    )


def count_choices(policy: policies.Placement) -> int:
    """Return how many random targets to compare."""
    match policy:
        case policies.ExpectedCompletion(choices):
            return choices
        case policies.LeastLoad(choices):
            return choices


def estimate_wait(view: views.TargetView) -> float:
    """Return the estimated seconds until a new call runs on a target."""
    slots = max(1, view.spec.slots)
    load = view.estimate_load()
    queued = max(0, load - slots + 1)
    share = 0.05 * load / slots
    return (queued / slots + share) * _AVERAGE_CALL_SECONDS


def _evaluate(
    policy: policies.Placement,
    location: Location,
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
            cached = _estimate_cached(member, view)
            missing = max(0, demand.prefix_tokens - cached)
            prefill = _estimate_prefill(member, missing) * weight
            prefill += demand.new_tokens * PREFILL_SECONDS
            latency = _estimate_latency(location, view)
            if member is not None and member.target not in ('', target):
                latency += _MOVE_PENALTY_SECONDS
            cost = wait + prefill + latency
            reason = f'wait {wait:.3f}, prefill {prefill:.3f}'
            return calls.Candidate(target, cost, cached, reason)


def _estimate_cached(
    member: trees.Member | None, view: views.TargetView
) -> int:
    if member is None or member.target != view.spec.target:
        return 0
    confidence = _CONFIDENCE_PER_EVENT_GAP ** (
        view.event_gaps - member.event_gaps
    )
    return int(member.cached * confidence)


def _estimate_prefill(member: trees.Member | None, missing: int) -> float:
    if member is not None and member.exported:
        return missing * RESTORE_SECONDS
    return missing * PREFILL_SECONDS


def _estimate_latency(location: Location, view: views.TargetView) -> float:
    if view.spec.region != location.region:
        return _REGION_LATENCY_SECONDS
    if view.spec.zone != location.zone:
        return _ZONE_LATENCY_SECONDS
    return 0.0
