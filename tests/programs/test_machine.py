"""A state machine test that searches for violations of the invariants."""

import collections
import itertools
import random
import typing

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tests.programs import drivers
from vanillayoke.core import failures
from vanillayoke.programs import budget
from vanillayoke.programs import decisions
from vanillayoke.programs import endings
from vanillayoke.programs import records
from vanillayoke.programs import replay
from vanillayoke.programs import snapshots
from vanillayoke.testing import fixtures

_FAILURES = (
    failures.Failure(failures.Kind.TARGET_REFUSED, 'refused'),
    failures.Failure(failures.Kind.NO_TARGET, 'none left'),
    failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'reply lost'),
    failures.Failure(failures.Kind.LEASE_LOST, 'moved meanwhile'),
)
_WALK_COUNT = 500
_STEPS_PER_WALK = 60
_BUDGET = records.Budget(tokens=350, calls=6, seconds=64.0, money=40)
# Weighted so that most sequences make progress. One rule per event would not
# do, since hypothesis leaves some rules out of each sequence.
_EVENTS = (
    8 * ('proceed',)
    + 3 * ('intend', 'send')
    + 2 * ('retry', 'answer', 'fail', 'commit')
    + ('accept', 'open', 'end', 'take_over', 'wake', 'cancel', 'snapshot')
)
_NOT_RUN_ERRORS = frozenset(
    kind.value
    for kind, answer in failures.ANSWERS.items()
    if answer.ran is failures.Ran.NO
)


class _Choice(typing.NamedTuple):
    """An event with its parameters; each event uses those it needs."""

    event: str
    index: int
    key: str
    flag: bool


_CHOICES = [
    _Choice(*picks)
    for picks in itertools.product(_EVENTS, range(4), 'abcdef', (False, True))
]


def _to_amounts(spend):
    return [getattr(spend, name) for name in budget.RESOURCES]


def _may_retry(call):
    """Return whether a failed call may be run again under its key."""
    if not call.error:
        return False
    answer = failures.ANSWERS[failures.Kind(call.error)]
    is_safe = call.idempotent or answer.ran is failures.Ran.NO
    return answer.may_retry and is_safe


class Machine(stateful.RuleBasedStateMachine):
    """One shard's owner, its journal, and targets that run what is sent.

    ``executions`` counts the non-idempotent calls that targets ran, by
    program and key. ``sent`` holds the programs, call numbers and acceptance
    epochs, and also the attempts, of all that was sent and not refused.
    ``reported`` holds the durable outcomes that clients may have received.
    """

    def __init__(self):
        super().__init__()
        self.driver = drivers.Driver()
        self.durable = 0
        self.executions = collections.Counter()
        self.sent = set()
        self.reported = {}
        self.stale = []
        self.driver.open(
            'a', parent=self.driver.open('a', budget=_BUDGET), budget=_BUDGET
        )
        self.commit()

    @stateful.rule(choice=strategies.sampled_from(_CHOICES))
    def step(self, choice):
        self.follow(choice)

    def follow(self, choice):
        getattr(self, choice.event)(choice)
        self.check()

    def teardown(self):
        self.check_replay()

    def commit(self, choice=None):
        self.check_replay()
        self.durable = len(self.driver.segments)
        for program in self.driver.programs.values():
            for call in program.calls:
                if call.is_final:
                    outcome = (call.key, call.state, call.message, call.error)
                    self.reported[program.id, call.number] = outcome

    def pick(self, index):
        programs = list(self.driver.programs.values())
        return programs[index % len(programs)]

    def proceed(self, choice):
        """Take the next regular step of a program."""
        program = self.pick(choice.index)
        call = program.running
        if call is None:
            key = f'{choice.key}{len(program.calls)}'
            self.accept(choice._replace(key=key))
        elif not call.is_intended:
            self.intend(choice)
        elif choice.flag:
            self.send(choice)
        else:
            self.answer(choice)

    def open(self, choice):
        parent = self.pick(choice.index) if choice.flag else None
        if len(self.driver.programs) < 4:
            self.driver.open(choice.key, parent=parent, budget=_BUDGET)

    def accept(self, choice):
        program = self.pick(choice.index)
        key = choice.key
        is_order = choice.flag
        name = 'order' if is_order else ''
        self.driver.accept(
            program,
            key,
            name,
            fingerprint=f'{key}{name}',
            idempotent=not is_order,
            run='' if is_order else key,
        )
        self._call_next_tool(program)

    def retry(self, choice):
        """Let a client that got no answer repeat a call."""
        program = self.pick(choice.index)
        call = program.find_call(len(program.calls) - choice.flag)
        if call is not None:
            last_call = program.calls[-1]
            was_open = program.open_run or program.running
            latest = program.find_key(call.key)
            repeated = self.driver.accept(
                program,
                call.key,
                call.name,
                fingerprint=call.fingerprint,
                idempotent=call.idempotent,
                run=call.run,
            )
            if repeated != decisions.DuplicateCall(latest.number):
                assert not was_open, repeated
                assert _may_retry(last_call), repeated

    def _call_next_tool(self, program):
        """Make a call of the model's next tool request, as its owner would."""
        for request in program.pending_tools[:1]:
            self.driver.accept(
                program,
                f'{program.open_run}\n{len(program.calls)}',
                request.name,
                idempotent=False,
                run=program.open_run,
                tool_call_id=request.id,
                arguments=request.arguments,
            )

    def intend(self, choice):
        """Record an intent, with proof only if the call was not sent."""
        program = self.pick(choice.index)
        call = program.running
        if call is None:
            return
        call_id = (program.id, call.number, call.epoch)
        self.driver.intend(
            program,
            f't{choice.index}',
            earlier_not_run=choice.flag and call_id not in self.sent,
        )

    def send(self, choice):
        """Send the intended call; targets do not run a refused one."""
        program = self.pick(choice.index)
        call = program.running
        if call is None or not call.is_intended:
            return
        call_id = (program.id, call.number, call.epoch)
        attempt = (*call_id, call.attempts)
        if not call.idempotent:
            self.commit()
        is_refused = choice.flag and choice.index == 1
        if is_refused or attempt in self.sent:
            return
        self.sent |= {call_id, attempt}
        if not call.idempotent:
            self.executions[program.id, call.key] += 1

    def answer(self, choice):
        """Deliver an answer: in time, late or repeatedly."""
        program = self.pick(choice.index)
        last = len(program.calls)
        call = program.find_call(last - choice.index * choice.flag)
        if call is None or not call.attempts:
            return
        number = call.number
        tools = [
            records.ToolRequest(f'c{number}-{index}', 'order', f'{index}')
            for index in range(2 * (choice.key < 'd'))
        ]
        was_final = call.is_final
        decided = self.driver.answer(program, number, tools=tools)
        assert not (was_final and decided), decided

    def fail(self, choice):
        """Fail a call with an error that is possible in its state."""
        program = self.pick(choice.index)
        call = program.running
        if call is None:
            return
        attempt = (program.id, call.number, call.epoch, call.attempts)
        was_sent = attempt in self.sent
        is_possible = {
            failures.Kind.TARGET_REFUSED: call.attempts and not was_sent,
            failures.Kind.OUTCOME_UNKNOWN: call.attempts,
        }
        failure = _FAILURES[ord(choice.key) % len(_FAILURES)]
        if is_possible.get(failure.kind, True):
            self.driver.fail(program, failure)

    def cancel(self, choice):
        program = self.pick(choice.index)
        failure = failures.Failure(failures.Kind.CANCELLED, 'client')
        ancestors = self.driver.list_ancestors(program)
        epoch = self.driver.epoch
        self.driver.apply(
            endings.cancel_call(program, ancestors, failure, epoch)
        )

    def end(self, choice):
        if choice.index == 0:
            self.driver.end(self.pick(choice.index))

    def snapshot(self, choice):
        program = self.pick(choice.index)
        record = snapshots.take_snapshot(program, self.driver.epoch)
        self.driver.apply([record])

    def take_over(self, choice):
        """Replace the owner; all that is not durable is lost."""
        self.check_replay()
        lost = self.driver.segments[self.durable :]
        self.stale += [
            record for segment in lost for record in segment.records
        ]
        self.driver.take_over(lost=len(lost))
        self.durable = min(self.durable, len(self.driver.segments))
        for program in self.driver.programs.values():
            call = program.running
            assert call is None or call.idempotent or not call.is_intended

    def wake(self, choice):
        """Apply a lost owner's record after its successor's records."""
        if not self.stale:
            return
        record = self.stale[choice.index % len(self.stale)]
        program = self.driver.programs.get(record.program)
        if program is not None and record.epoch < program.epoch:
            assert not replay.apply_record(self.driver.programs, record)
            self.driver.apply([record])

    def check_replay(self):
        replayed = replay.replay(self.driver.segments, drivers.ALL_SHARDS)
        assert replayed == self.driver.programs

    def check(self):
        self.check_orders_run_at_most_once()
        self.check_budgets_include_all_sub_agents()
        self.check_call_order()
        self.check_reported_outcomes_are_stable()
        self.check_outcomes_match_executions()
        self.check_conversations_are_valid()

    def check_orders_run_at_most_once(self):
        assert all(count == 1 for count in self.executions.values()), (
            self.executions
        )

    def check_budgets_include_all_sub_agents(self):
        for program in self.driver.programs.values():
            used = records.Spend()
            for other in self.driver.programs.values():
                if program in (other, *self.driver.list_ancestors(other)):
                    for call in other.calls:
                        final = call.is_final
                        amount = call.spent if final else call.reserved
                        used = budget.add_spend(used, amount)
            counted = budget.add_spend(program.committed, program.reserved)
            assert _to_amounts(used) == _to_amounts(counted)
            assert min(_to_amounts(program.remaining())) >= 0

    def check_call_order(self):
        for program in self.driver.programs.values():
            numbers = [call.number for call in program.calls]
            assert numbers == list(range(1, len(numbers) + 1))
            assert all(call.is_final for call in program.calls[:-1])
            keys = set()
            for call in program.calls:
                if call.key in keys:
                    previous = program.calls[call.number - 2]
                    assert _may_retry(previous), call
                    assert previous.key == call.key or previous.run == call.run
                keys.add(call.key)

    def check_reported_outcomes_are_stable(self):
        for (name, number), outcome in self.reported.items():
            call = self.driver.programs[name].find_call(number)
            current = (call.key, call.state, call.message, call.error)
            assert current == outcome

    def check_outcomes_match_executions(self):
        for program in self.driver.programs.values():
            for call in program.calls:
                call_id = (program.id, call.number, call.epoch)
                if call.error and call_id in self.sent:
                    assert call.error not in _NOT_RUN_ERRORS, call
                    assert call.spent == call.reserved, call
                if call.error == 'outcome_unknown' and not call.idempotent:
                    assert call.attempts, call

    def check_conversations_are_valid(self):
        """Check that all tool requests are answered before the next turn."""
        for program in self.driver.programs.values():
            pending = []
            for message in program.history():
                if message.role == 'tool':
                    pending.remove(message.tool_call_id)
                    continue
                assert not pending, program.history()
                pending = [tool.id for tool in message.tool_calls]


def test_no_generated_sequence_violates_an_invariant():
    """Orders must run once, budgets hold and outcomes be stable.

    Retries, late and duplicate answers, refusals, snapshots and takeovers
    that lose the journal's last records occur in any order.
    """
    stateful.run_state_machine_as_test(
        Machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=60,
            stateful_step_count=40,
        ),
    )


def test_no_random_walk_violates_an_invariant():
    """Random walks reach sequences that hypothesis does not generate."""
    for seed in range(_WALK_COUNT):
        rng = random.Random(seed)
        machine = Machine()
        for choice in rng.choices(_CHOICES, k=_STEPS_PER_WALK):
            machine.follow(choice)
        machine.teardown()


load_tests = fixtures.adapt(__name__)
