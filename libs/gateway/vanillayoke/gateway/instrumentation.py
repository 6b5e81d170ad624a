"""Log lines and metrics of an instance's components."""

from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import decoding
from vanillayoke.core import events as log_events
from vanillayoke.core import line_limits
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import budget_accounts
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.scheduling import shared_health

# At most one malformed load report of a target, and one rejected message of a
# source and for a reason, is logged in this time.
REPORT_LOG_INTERVAL_SECONDS = 10.0
_INITIAL_STATES = frozenset(
    (cluster_messages.State.ALIVE, cluster_messages.State.SUSPECTED)
)


class Instrumentation:
    """Writes the log lines and metrics of an instance's components."""

    def __init__(
        self,
        log: logs.Logger,
        metrics: metrics_module.Metrics,
        timer_service: timers.TimerService,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._timers = timer_service
        self._refused_connections = line_limits.LineLimit(timer_service)
        # When the last malformed report of a target was logged.
        self._malformed_at: dict[str, float] = {}
        # When the last rejected message was logged, by source and reason.
        self._rejected_at: dict[tuple[str, decoding.Reason], float] = {}

    def record_store_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        """Record a call to the store and its outcome."""
        self._metrics.record_store_call(call, outcome, seconds)
        if outcome != 'answered':
            ms = round(seconds * 1000, 1)
            self._log.write(
                log_events.STORE_CALL_FAILED, call=call, outcome=outcome, ms=ms
            )

    def record_store_lost(self, average_latency: float) -> None:
        """Record that the store has become unavailable."""
        average_ms = round(average_latency * 1000, 1)
        self._log.write(log_events.STORE_LOST, usual_ms=average_ms)

    def record_store_recovered(self) -> None:
        """Record that the store is available again."""
        self._log.write(log_events.STORE_REGAINED)

    def record_credit_grant(
        self, program: str, turn: str, tokens: int
    ) -> None:
        """Record that a turn got tokens without a grant in the store."""
        self._log.write(
            log_events.BUDGET_ON_CREDIT,
            program=program,
            request=turn,
            tokens=tokens,
        )

    def record_budget_decision(
        self, decision: budget_accounts.Decision
    ) -> None:
        """Record a coordinator's decision on a program's budget."""
        match decision:
            case budget_accounts.TakenOver(program, granted, budget):
                self._log.write(
                    log_events.BUDGET_TAKEN_OVER,
                    program=program,
                    granted=granted,
                    budget=budget,
                )
            case budget_accounts.Changed():
                self._log.write(
                    log_events.BUDGET_CHANGED, **decision._asdict()
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
                    creditor=decision.creditor,
                    row_age=round(decision.age, 2),
                )

    def record_malformed_report(self, target: messages.Target) -> None:
        """Record that a target's load report can't be used.

        A target sends a report with each response, so only the first of each
        target in ``REPORT_LOG_INTERVAL_SECONDS`` is logged.
        """
        self._metrics.malformed_reports.add(1, target=target.name)
        self.count_rejected_message('load_reports', decoding.Reason.INVALID)
        now = self._timers.now()
        last = self._malformed_at.get(target.name, float('-inf'))
        if now - last >= REPORT_LOG_INTERVAL_SECONDS:
            self._malformed_at = {
                name: at
                for name, at in self._malformed_at.items()
                if now - at < REPORT_LOG_INTERVAL_SECONDS
            }
            self._malformed_at[target.name] = now
            self._log.write(
                log_events.LOAD_REPORT_MALFORMED,
                target=target.name,
                service=target.service,
                zone=target.zone,
            )

    def record_connection(self, address: str) -> None:
        """Record a new connection to a target."""
        self._metrics.connections.add()

    def record_member_change(
        self,
        previous: cluster_messages.Member | None,
        member: cluster_messages.Member,
    ) -> None:
        """Record that another instance changed its state.

        The first sight of an instance is not logged: when many instances
        start together, the number of lines would grow with their square.
        """
        was_known = previous is not None and previous.incarnation > 0
        if not was_known and member.state in _INITIAL_STATES:
            return
        self._log.write(
            log_events.PEER_CHANGED,
            peer=member.instance,
            address=member.peer_address,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )

    def record_health_state(self, state: shared_health.HealthState) -> None:
        """Record a change in the shared health state of a target."""
        if state.is_over:
            self._log.write(log_events.TARGET_WELL, target=state.target)
            return
        self._log.write(
            log_events.TARGET_SICK,
            target=state.target,
            episode=state.episode,
            reporters=list(state.reporters),
        )

    def record_failure(
        self, error: BaseException, request: str | None = None
    ) -> None:
        """Record an unexpected exception, with the request it ended."""
        self._metrics.handler_failures.add()
        self._log.write(
            log_events.HANDLER_FAILED, request=request, error=_describe(error)
        )

    def record_task_failure(
        self, task: str, error: Exception, seconds: float
    ) -> None:
        """Record that a long-running task starts again in some seconds."""
        self._metrics.task_failures.add(1, task=task)
        self._log.write(
            log_events.TASK_RESTARTED,
            task=task,
            seconds=seconds,
            error=_describe(error),
        )

    def count_rejected_message(
        self, source: str, reason: decoding.Reason
    ) -> None:
        """Count bytes of another process that could not be decoded."""
        self._metrics.rejected_messages.add(
            1, source=source, reason=reason.value
        )

    def record_rejected_message(
        self, source: str, reason: decoding.Reason, sender: str
    ) -> None:
        """Count a message that could not be decoded, and log it.

        Of each source and reason, the first one in
        ``REPORT_LOG_INTERVAL_SECONDS`` is logged.
        """
        self.count_rejected_message(source, reason)
        now = self._timers.now()
        last = self._rejected_at.get((source, reason), float('-inf'))
        if now - last >= REPORT_LOG_INTERVAL_SECONDS:
            self._rejected_at[source, reason] = now
            self._log.write(
                log_events.MESSAGE_REJECTED,
                source=source,
                sender=sender,
                reason=reason.value,
            )

    def record_refused_connection(self, status: int) -> None:
        """Record that a connection was refused for invalid input."""
        self._metrics.connections_refused.add(1, status=str(int(status)))
        count = self._refused_connections.count(status)
        if count is not None:
            self._log.write(
                log_events.CONNECTION_REFUSED, status=int(status), count=count
            )


def _describe(error: BaseException) -> str:
    return f'{type(error).__name__}: {error}'
