"""The targets of a simulated deployment and their load reports."""

import itertools
import typing

from vanillayoke.bench import engine as engines
from vanillayoke.bench import policy_services
from vanillayoke.bench import workload
from vanillayoke.scheduling import calls

REGION = 'r'
MODEL = ('m', '1')


def list_specs(deployment: workload.Deployment) -> list[calls.TargetSpec]:
    """Return a deployment's targets, spread over its zones."""
    zones = itertools.cycle(deployment.zones)
    specs = [
        calls.TargetSpec(
            f'engine-{number}', 'engine', '', next(zones), REGION,
            workload.CACHE_TOKENS, workload.SLOTS,
        )
        for number in range(deployment.engines)
    ]  # fmt: skip
    for group, count in deployment.services:
        specs += [
            calls.TargetSpec(
                f'{group}-{number}', 'service', group, next(zones), REGION,
                0, workload.SERVICE_SLOTS,
            )
            for number in range(count)
        ]  # fmt: skip
    return specs


def make_engines(
    specs: typing.Iterable[calls.TargetSpec],
) -> dict[str, engines.Engine]:
    """Make the engines among the targets, by name."""
    return {
        spec.target: engines.Engine(spec.target, spec.slots, spec.cache_tokens)
        for spec in specs
        if spec.kind == 'engine'
    }


def make_services(
    specs: typing.Iterable[calls.TargetSpec],
) -> dict[str, policy_services.Service]:
    """Make the services among the targets, by name."""
    return {
        spec.target: policy_services.Service(spec.target, spec.slots)
        for spec in specs
        if spec.kind == 'service'
    }


def report_engine(
    engine: engines.Engine, received_at: float
) -> calls.TargetReport:
    """Return an engine's load as it is now."""
    return calls.TargetReport(
        engine.name, received_at, engine.running, engine.waiting,
        engine.cache.used, engine.cache.size, frozenset({MODEL}), 'any',
        False,
    )  # fmt: skip


def report_service(
    service: policy_services.Service, received_at: float
) -> calls.TargetReport:
    """Return a service's load as it is now."""
    return calls.TargetReport(
        service.name, received_at, service.running, service.waiting,
        0, 0, frozenset(), 'any', False,
    )  # fmt: skip
