"""A program as it runs in a simulation, step after step."""

import math
import typing

from vanillayoke.bench import engine as engines
from vanillayoke.bench import workload
from vanillayoke.core import failures
from vanillayoke.scheduling import calls

CALL_SECONDS = 60.0
URGENT_CALL_SECONDS = 10.0
"""Seconds from a call's arrival to its deadline."""

IN_TIME_SECONDS = 60.0
IN_TIME_SECONDS_PER_TURN = 2.0
"""Beside its own pauses a program may take these and be in time."""

_LEAST_RETRY_SECONDS = 0.1
_RETRY_JITTER = 0.2


class Program:
    """A root program or a sub-agent; both run alike.

    A refused call comes back after the time that the refusal names, until
    its deadline. A root fails as soon as one of its calls does.
    """

    def __init__(
        self,
        run: typing.Any,
        plan: workload.Plan,
        parent: typing.Optional['Program'] = None,
    ) -> None:
        self.plan = plan
        self.parent = parent
        self.root: Program = parent.root if parent else self
        self.placed_on = ''
        self.attained = 0.0
        self.over = False
        self._run = run
        self._number = 0
        self._attempt = 0
        self._history = 0
        self._begun = 0.0
        self._open_children = 0
        self._demand: calls.CallDemand | None = None
        self._avoid: frozenset[str] = frozenset()
        self._family: list[Program] = []

    def start(self) -> None:
        """Begin with the first turn."""
        self._begun = self._run.now
        if self.parent is None:
            self._run.figures.note_open(self.plan)
        self.root._family.append(self)
        self._call_model()

    def answered(self, answer: engines.EngineAnswer) -> None:
        """Take in a model call's answer and go on with its tool."""
        self._run.figures.answered_calls += 1
        self.root.attained += answer.service
        self._demand = None
        if self.over:
            return
        turn = self._turn()
        self._history += turn.new_tokens + turn.output_tokens
        if math.isinf(turn.pause):
            self._vanish()
        elif self._number + 1 == len(self.plan.turns):
            self._finish()
        elif turn.children:
            self._open_children = len(turn.children)
            self._run.pause(self, turn.tool)
            for child in turn.children:
                Program(self._run, child, self).start()
        elif turn.service:
            self._call_service(turn)
        else:
            self._run.pause(self, turn.tool)
            at = self._run.now + turn.pause
            self._run.schedule(at, self._next_turn)

    def served(self) -> None:
        """Take in a service call's answer."""
        self._demand = None
        self._next_turn()

    def refused(self, failure: failures.Failure) -> None:
        """Come back after the named time, or give up at the deadline."""
        demand = self._demand
        if demand is None or self.over:
            return
        if failure.retry_after is None:
            self.fail('refused')
            return
        wait = max(failure.retry_after, _LEAST_RETRY_SECONDS)
        wait *= 1 + _RETRY_JITTER * self._run.source.random()
        if self._run.now + wait >= demand.deadline:
            self.fail('refused')
            return
        self._run.schedule(self._run.now + wait, self._submit, demand)

    def lost(self, target: str) -> None:
        """Send a call again that its target lost, unless it is an order."""
        demand = self._demand
        if demand is None or self.over:
            return
        if not demand.idempotent:
            self.fail('unknown')
            return
        self._submit(demand._replace(avoid=demand.avoid | {target}))

    def fail(self, reason: str) -> None:
        """Give up the whole tree."""
        root = self.root
        if root.over:
            return
        self._run.figures.note_failed(root.plan, reason)
        for member in root._family:
            member._close()

    def make_engine_call(
        self, placement: calls.Placement
    ) -> engines.EngineCall:
        """Return the engine call of the current turn."""
        turn = self._turn()
        prompt = self.plan.shared_tokens + self._history + turn.new_tokens
        return engines.EngineCall(
            placement.call,
            self.plan.name,
            self.plan.agent,
            self.plan.shared_tokens,
            prompt,
            turn.new_tokens,
            turn.output_tokens,
            placement.priority,
        )

    def service_seconds(self) -> float:
        """Return the service's own time for the current tool."""
        return self._turn().pause

    def _turn(self) -> workload.Turn:
        return self.plan.turns[self._number]

    def _call_model(self) -> None:
        turn = self._turn()
        prefix = self.plan.shared_tokens + self._history
        demand = self._make_demand('m', '', prefix, turn.new_tokens, True)
        self._submit(demand)

    def _call_service(self, turn: workload.Turn) -> None:
        self._run.pause(self, turn.tool)
        demand = self._make_demand('', turn.service, 0, 0, turn.idempotent)
        self._submit(demand)

    def _make_demand(
        self, model: str, group: str, prefix: int, new: int, idempotent: bool
    ) -> calls.CallDemand:
        now = self._run.now
        urgent = self.root.plan.urgent
        seconds = URGENT_CALL_SECONDS if urgent else CALL_SECONDS
        return calls.CallDemand(
            call='',
            program=self.plan.name,
            root=self.root.plan.name,
            client=self.root.plan.client,
            model=model,
            version='1' if model else '',
            group=group,
            prefix_tokens=prefix,
            new_tokens=new,
            output_tokens=workload.EXPECTED_OUTPUT_TOKENS,
            attained=self.root.attained,
            urgent=urgent,
            idempotent=idempotent,
            accepted_at=now,
            deadline=now + seconds,
        )

    def _submit(self, demand: calls.CallDemand) -> None:
        if self.over:
            return
        self._attempt += 1
        self.placed_on = ''
        call = f'{self.plan.name}/{self._attempt}'
        self._demand = demand._replace(call=call)
        self._run.submit(self, self._demand)

    def _next_turn(self) -> None:
        if self.over:
            return
        self._number += 1
        self._call_model()

    def _child_finished(self) -> None:
        self._open_children -= 1
        if self._open_children == 0:
            self._next_turn()

    def _finish(self) -> None:
        self.over = True
        self._run.end(self)
        if self.parent is not None:
            self.parent._child_finished()
            return
        latency = self._run.now - self.plan.at
        allowed = IN_TIME_SECONDS + workload.measure_pauses(self.plan)
        allowed += IN_TIME_SECONDS_PER_TURN * workload.count_turns(self.plan)
        self._run.figures.note_finished(self.plan, latency, latency <= allowed)

    def _vanish(self) -> None:
        self.over = True
        self._run.figures.note_failed(self.plan, 'vanished')
        self._run.pause(self, self._turn().tool)
        self._run.note_vanished(self)

    def _close(self) -> None:
        if self.over:
            return
        self.over = True
        if self._demand is not None:
            self._run.forget_call(self._demand.call)
        self._run.end(self)
