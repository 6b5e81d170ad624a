"""Metrics that follow from the events of this instance."""

import typing

from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import metrics

_MODEL = 'model'
_TOOL = 'tool'
Fields = dict[str, typing.Any]


class Measurements:
    """Counts events, so that metrics and time line never disagree."""

    def __init__(
        self,
        registry: metrics.Metrics,
        is_engine: typing.Callable[[str], bool],
    ) -> None:
        self._registry = registry
        self._is_engine = is_engine

    def take(self, event: events.Event, fields: Fields) -> None:
        """Take in an event that was written."""
        registry = self._registry
        match event:
            case events.PROGRAM_ENDED:
                client = fields['client']
                registry.program_latency.observe(
                    fields['seconds'], client=client
                )
                registry.programs_ended.add(outcome='finished')
            case events.PROGRAM_STOPPED:
                registry.programs_ended.add(outcome='stopped')
            case events.CALL_PLACED:
                registry.wait.observe(fields['waited'], cause='queue')
            case events.CALL_ANSWERED:
                self._count_call(fields, 'answered')
                registry.call_latency.observe(
                    fields['seconds'], target=fields['target']
                )
            case events.CALL_FAILED:
                self._count_failure(fields)
            case events.CALL_RETRIED:
                registry.retries.add(of='call')
            case events.CALL_OUTCOME_UNKNOWN:
                registry.outcomes_unknown.add()
            case events.CALL_REFUSED:
                registry.refusals.add(kind=fields['kind'])
            case events.CONFIGURATION_IN_FORCE:
                registry.configuration.set(fields['version'])
            case events.LEASE_LOST:
                registry.leases_lost.add()
            case events.DRAIN_STARTED:
                registry.draining.set(1)

    def _count_failure(self, fields: Fields) -> None:
        kind = failures.Kind(fields['kind'])
        ran = failures.ANSWERS[kind].ran
        outcome = {
            failures.Ran.NO: 'refused',
            failures.Ran.YES: 'failed',
            failures.Ran.UNKNOWN: 'unknown',
        }[ran]
        self._count_call(fields, outcome)
        if ran is failures.Ran.NO:
            self._registry.refusals.add(kind=kind.value)
        if kind is failures.Kind.OUTCOME_UNKNOWN:
            self._registry.outcomes_unknown.add()

    def _count_call(self, fields: Fields, outcome: str) -> None:
        target = fields['target'] or ''
        kind = _MODEL if self._is_engine(target) else _TOOL
        self._registry.calls.add(kind=kind, outcome=outcome)
