"""The log lines and metrics of an instance's parts."""

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.gateway import budget_accounts
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.scheduling import shared_health

# The states that an instance is met in at first.
_EXPECTED = frozenset(
    (cluster_messages.State.ALIVE, cluster_messages.State.SUSPECTED)
)


class Instrumentation:
    """Writes down what the parts of an instance tell."""

    def __init__(
        self, log: logs.Logger, metrics: metrics_module.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics

    def record_store_call(self, call: str, outcome: str, taken: float) -> None:
        """Note a call to the store and how it went."""
        self._metrics.record_store_call(call, outcome, taken)
        if outcome != 'answered':
            ms = round(taken * 1000, 1)
            self._log.write(
                log_events.STORE_CALL_FAILED, call=call, outcome=outcome, ms=ms
            )

    def record_store_lost(self, usual_time: float) -> None:
        """Note that the store does not answer any more."""
        usual = round(usual_time * 1000, 1)
        self._log.write(log_events.STORE_LOST, usual_ms=usual)

    def record_store_recovered(self) -> None:
        """Note that the store answers again."""
        self._log.write(log_events.STORE_REGAINED)

    def record_credit_grant(
        self, program: str, turn: str, tokens: int
    ) -> None:
        """Note that a turn begins without a grant of the store."""
        self._log.write(
            log_events.BUDGET_ON_CREDIT,
            program=program,
            request=turn,
            tokens=tokens,
        )

    def record_budget_decision(
        self, decision: budget_accounts.Decision
    ) -> None:
        """Note what a program's home decided on its budget."""
        match decision:
            case budget_accounts.TakenOver(program, granted, budget):
                self._log.write(
                    log_events.BUDGET_TAKEN_OVER,
                    program=program,
                    granted=granted,
                    budget=budget,
                )
            case budget_accounts.Refused():
                self._log.write(
                    log_events.BUDGET_REFUSED,
                    program=decision.program,
                    request=decision.turn,
                    budget=decision.budget,
                    need=decision.need,
                    granted=decision.granted,
                    received=decision.received,
                    free=decision.free,
                    reserved=decision.reserved,
                    turns=decision.turns,
                    owed=decision.owed,
                    charged=decision.charged,
                    row_age=round(decision.age, 2),
                )

    def record_connection(self, address: str) -> None:
        """Note that a connection to a target is opened."""
        self._metrics.connections.add()

    def record_member_change(
        self,
        before: cluster_messages.Member | None,
        member: cluster_messages.Member,
    ) -> None:
        """Note that another instance changed its state.

        That one is listed or heard of for the first time is no loss and no
        return; its own lines tell when it began. Written down by all, a start
        of 200 instances made 74,000 lines.
        """
        was_heard = before is not None and before.incarnation > 0
        if not was_heard and member.state in _EXPECTED:
            return
        self._log.write(
            log_events.PEER_CHANGED,
            peer=member.instance,
            address=member.peer_address,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )

    def record_health_state(self, verdict: shared_health.HealthState) -> None:
        """Note what became known of a target."""
        if verdict.is_over:
            self._log.write(log_events.TARGET_WELL, target=verdict.target)
            return
        self._log.write(
            log_events.TARGET_SICK,
            target=verdict.target,
            episode=verdict.episode,
            reporters=list(verdict.reporters),
        )

    def record_failure(self, error: BaseException) -> None:
        """Note an error that nobody expected."""
        text = f'{type(error).__name__}: {error}'
        self._log.write(log_events.HANDLER_FAILED, error=text)

    def record_refused_connection(self, status: int) -> None:
        """Note that a connection was refused for what it sent."""
        self._log.write(log_events.CONNECTION_REFUSED, status=int(status))
