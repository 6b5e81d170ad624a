"""Factories for targets, reports and calls in tests of the scheduler."""

from vanillayoke.scheduling import calls


def make_engine(name: str, zone: str = 'a', **changes) -> calls.TargetSpec:
    """Return an engine of 16 slots and 200,000 cache tokens."""
    spec = calls.TargetSpec(name, 'engine', '', zone, 'r', 200_000, 16)
    return spec._replace(**changes)


def make_service(name: str, group: str = 'stock') -> calls.TargetSpec:
    """Return a service of 4 concurrent calls."""
    return calls.TargetSpec(name, 'service', group, 'a', 'r', 0, 4)


def make_report(target: str, at: float, **changes) -> calls.TargetReport:
    """Return a report of an idle target that has model ``m``."""
    report = calls.TargetReport(
        target, at, 0, 0, 0, 200_000, frozenset({('m', '1')}), 'any', False
    )
    return report._replace(**changes)


def make_demand(call: str, **changes) -> calls.CallDemand:
    """Return a first model call of program ``prg-1`` from time 0."""
    demand = calls.CallDemand(
        call, 'prg-1', 'prg-1', 'client', 'm', '1', '', 1000, 200, 100, 0.0,
        False, True, 0.0, 60.0,
    )  # fmt: skip
    return demand._replace(**changes)
