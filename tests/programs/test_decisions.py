"""Tests of the decisions about one call."""

from tests.programs import drivers
from vanillayoke.core import failures
from vanillayoke.programs import caches
from vanillayoke.programs import checks
from vanillayoke.programs import decisions
from vanillayoke.programs import endings
from vanillayoke.programs import records
from vanillayoke.testing import fixtures

_KIND = failures.Kind
_ORDER = records.ToolRequest('c1', 'order', '{"tiles": 4}')
_SAME_ORDER = records.ToolRequest('c2', 'order', '{ "tiles":4 }')
_REFUSED = failures.Failure(_KIND.TARGET_REFUSED, 'no connection')
_LATE = failures.Failure(_KIND.DEADLINE_PASSED, 'too late')


@fixtures.fixture
def driver():
    return drivers.Driver()


@fixtures.fixture
def program(driver):
    return driver.open()


def _order(driver, program, key='order', **changes):
    return driver.accept(program, key, 'order', idempotent=False, **changes)


def test_calls_run_one_at_a_time(case, driver, program):
    driver.accept(program, 'k1')
    case.assertEqual(_KIND.CALL_IN_PROGRESS, driver.accept(program, 'k2').kind)
    driver.intend(program)
    driver.answer(program)
    case.assertIsInstance(driver.accept(program, 'k2'), list)
    case.assertEqual(2, program.running.number)


def test_repeated_key_returns_its_call_unless_the_request_differs(
    case, driver, program
):
    driver.run(program, 'k1')
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))
    other = driver.accept(program, 'k1', fingerprint='other')
    case.assertEqual(_KIND.KEY_REUSED, other.kind)
    driver.end(program)
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))
    case.assertEqual(_KIND.PROGRAM_ENDED, driver.accept(program, 'k2').kind)


def test_clients_cannot_use_the_key_of_a_step(case, driver, program):
    step = checks.make_step_key('r', 2)
    case.assertEqual(_KIND.BAD_REQUEST, driver.accept(program, step).kind)
    case.assertEqual(_KIND.BAD_REQUEST, driver.accept(program, '').kind)


def test_calls_after_the_deadline_are_rejected(case, driver, program):
    late = driver.accept(program, 'k1', now=drivers.DEADLINE)
    case.assertEqual(_KIND.DEADLINE_PASSED, late.kind)


def test_order_is_not_sent_again_without_proof_that_it_did_not_run(
    case, driver, program
):
    """A retry after a lost reply must not run an order twice."""
    _order(driver, program)
    driver.intend(program)
    case.assertEqual(_KIND.OUTCOME_UNKNOWN, driver.intend(program).kind)
    case.assertIsInstance(
        driver.intend(program, 't2', earlier_not_run=True), list
    )


def test_attempt_is_made_once(case, driver, program):
    driver.accept(program, 'k1')
    driver.intend(program)
    repeated = decisions.intend_call(program, 1, 1, 't2', 1)
    case.assertEqual(_KIND.CONFLICT, repeated.kind)
    driver.answer(program)
    late = decisions.intend_call(program, 1, 2, 't2', 1)
    case.assertEqual(_KIND.CANCELLED, late.kind)


def test_late_and_duplicate_answers_have_no_effect(case, driver, program):
    """The late answer to a failed call must not appear in a later turn."""
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.fail(program, _LATE)
    driver.run(program, 'k2')
    history = program.history()
    for number in (1, 2, 1):
        case.assertEqual([], driver.answer(program, number=number))
    case.assertEqual([], driver.fail(program, _LATE, number=1))
    case.assertEqual(history, program.history())
    case.assertEqual(drivers.RESERVED.tokens + 60, program.committed.tokens)


def test_not_run_is_only_reported_with_proof(case, driver, program):
    """The refusal of a second attempt says nothing about the first one.

    A caller that reads "not run" repeats the call, which would run twice.
    """
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.intend(program, 't2')
    driver.fail(program, _REFUSED)
    driver.accept(program, 'k2')
    driver.intend(program)
    driver.intend(program, 't2', earlier_not_run=True)
    driver.fail(program, _REFUSED)
    driver.accept(program, 'k3')
    driver.intend(program)
    driver.fail(program, _LATE)
    driver.accept(program, 'k4')
    driver.fail(program, _LATE)
    case.assertEqual(
        [
            'outcome_unknown',
            'target_refused',
            'deadline_passed_running',
            'deadline_passed',
        ],
        [call.error for call in program.calls],
    )
    charged = [call.spent.tokens for call in program.calls]
    case.assertEqual([100, 0, 100, 0], charged)


def test_successor_does_not_report_not_run_after_a_lost_intent(case, driver):
    """An idempotent call may have been sent although no intent is durable.

    Its owner can fail between sending it and writing the next segment.
    """
    program = driver.open()
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.take_over(lost=1)
    program = driver.programs[program.id]
    driver.fail(program, _LATE)
    case.assertEqual('deadline_passed_running', program.calls[0].error)


def test_takeover_distinguishes_sent_and_unsent_orders(case, driver):
    sent = driver.open('sent')
    _order(driver, sent)
    driver.intend(sent)
    unsent = driver.open('unsent')
    _order(driver, unsent)
    driver.take_over()
    sent = driver.programs[sent.id]
    unsent = driver.programs[unsent.id]
    case.assertEqual('outcome_unknown', sent.calls[0].error)
    case.assertEqual(drivers.RESERVED, sent.committed)
    case.assertEqual('accepted', unsent.running.state)
    case.assertIsInstance(driver.intend(unsent), list)


def test_model_does_not_repeat_an_order_of_unknown_outcome(case, driver):
    """A model that repeats an order under a new id must not run it twice."""
    program = driver.open()
    driver.run(program, 'r', run='r', tools=[_ORDER])
    options = {'run': 'r', 'arguments': _ORDER.arguments}
    _order(driver, program, 'r\n2', tool_call_id='c1', **options)
    driver.intend(program)
    driver.take_over()
    program = driver.programs[program.id]
    driver.run(program, 'r\n3', run='r', messages=(), tools=[_SAME_ORDER])
    options['arguments'] = _SAME_ORDER.arguments
    _order(driver, program, 'r\n4', tool_call_id='c2', **options)
    case.assertIsNone(program.running)
    case.assertEqual('conflict', program.calls[-1].error)
    case.assertIn('did not run', program.history()[-1].content)
    driver.run(program, 'r\n5', run='r', messages=())
    by_client = _order(
        driver, program, 'knows', arguments=_SAME_ORDER.arguments
    )
    case.assertIsInstance(by_client, list)


def test_tool_request_allows_one_call(case, driver, program):
    """A new owner must not run a completed order under a second key."""
    driver.run(program, 'r', run='r', tools=[_ORDER])
    case.assertEqual((_ORDER,), program.pending_tools)
    options = {'run': 'r', 'tool_call_id': 'c1'}
    driver.run(program, 'r\n2', 'order', **options)
    case.assertEqual((), program.pending_tools)
    repeated = _order(driver, program, 'r\n3', **options)
    case.assertEqual(_KIND.BAD_REQUEST, repeated.kind)


def test_retry_does_not_repeat_an_order_that_may_have_run(
    case, driver, program
):
    """A retry after a lost lease must return the recorded failure."""
    _order(driver, program)
    driver.intend(program)
    driver.fail(program, failures.Failure(_KIND.LEASE_LOST, 'lost'))
    repeated = _order(driver, program)
    case.assertEqual(decisions.DuplicateCall(1), repeated)


def test_retry_on_an_ended_program_gets_the_recorded_failure(
    case, driver, program
):
    """PROGRAM_ENDED would say "not run" of a call that may have run."""
    failed = failures.Failure(_KIND.TARGETS_FAILED, 'silent')
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.fail(program, failed)
    driver.end(program)
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))


def test_unknown_error_kind_of_a_newer_version_is_tolerated(
    case, driver, program
):
    driver.accept(program, 'k1')
    later = records.CallFailed(
        program.id, 1, number=1, error='new_kind', reason='unheard of'
    )
    driver.apply([later])
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))


def test_repeated_key_joins_an_open_run(case, driver, program):
    """A repeated key must not restart a run between two of its steps.

    Two drivers would then advance the run, and a tool request be dropped.
    """
    driver.run(program, 'r', run='r', tools=[_ORDER, _SAME_ORDER])
    _order(driver, program, 'r\n2', run='r', tool_call_id='c1')
    driver.fail(program, failures.Failure(_KIND.NO_TARGET, 'none'))
    repeated = driver.accept(program, 'r', run='r')
    case.assertEqual(decisions.DuplicateCall(1), repeated)
    case.assertEqual((_SAME_ORDER,), program.pending_tools)


def test_open_run_blocks_other_calls(case, driver, program):
    driver.run(program, 'r', run='r', tools=[_ORDER])
    case.assertEqual('r', program.open_run)
    other = driver.accept(program, 'k')
    case.assertEqual(_KIND.CALL_IN_PROGRESS, other.kind)
    driver.run(program, 'r\n2', 'order', run='r', tool_call_id='c1')
    driver.run(program, 'r\n3', run='r', messages=())
    case.assertEqual('', program.open_run)
    late = driver.accept(program, 'r\n4', run='r')
    case.assertEqual(_KIND.BAD_REQUEST, late.kind)


def test_conversation_is_valid_after_a_cancelled_run(case, driver, program):
    """Engines reject a conversation with unanswered tool requests."""
    driver.run(program, 'r', run='r', tools=[_ORDER, _SAME_ORDER])
    _order(driver, program, 'r\n2', run='r', tool_call_id='c1')
    driver.intend(program)
    cancelled = failures.Failure(_KIND.CANCELLED, 'by the client')
    driver.apply(endings.cancel_call(program, (), cancelled, 1))
    case.assertEqual('outcome_unknown', program.calls[-1].error)
    step = driver.accept(program, 'r\n3', run='r')
    case.assertEqual(cancelled, step)
    driver.run(program, 'next')
    answered = [message.tool_call_id for message in program.history()[2:4]]
    case.assertEqual(['c1', 'c2'], answered)
    case.assertEqual('user', program.history()[4].role)


def test_ending_a_program_fails_its_running_call(case, driver):
    """Each call's error must reflect what is known of its execution."""
    for key, idempotent, is_sent, error in (
        ('unsent', False, False, 'program_ended'),
        ('order', False, True, 'outcome_unknown'),
        ('question', True, True, 'cancelled'),
    ):
        program = driver.open(key)
        driver.accept(program, 'k', 'tool', idempotent=idempotent)
        if is_sent:
            driver.intend(program)
        driver.end(program)
        case.assertEqual(error, program.calls[0].error)
        case.assertEqual(is_sent, program.committed.tokens > 0)
        case.assertEqual([], driver.end(program))


def test_release_is_ignored_while_a_call_runs_at_the_target(
    case, driver, program
):
    """A late confirmation must not hide that the cache is in use again.

    The engine's cache would otherwise never be released.
    """
    driver.run(program, 'k1')
    case.assertEqual({'t1'}, program.cache_targets)
    case.assertEqual([], caches.hold_cache(program, 't1', 1))
    driver.accept(program, 'k2')
    driver.intend(program)
    driver.apply(caches.release_cache(program, 't1', 1))
    case.assertEqual({'t1'}, program.cache_targets)
    driver.end(program)
    driver.apply(caches.release_cache(program, 't1', 1))
    case.assertEqual(set(), program.cache_targets)


load_tests = fixtures.adapt(__name__)
