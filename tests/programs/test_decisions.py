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
_AGAIN = records.ToolRequest('c2', 'order', '{ "tiles":4 }')
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


def test_one_call_at_a_time(case, driver, program):
    driver.accept(program, 'k1')
    case.assertEqual(_KIND.CALL_IN_PROGRESS, driver.accept(program, 'k2').kind)
    driver.intend(program)
    driver.answer(program)
    case.assertIsInstance(driver.accept(program, 'k2'), list)
    case.assertEqual(2, program.running.number)


def test_repeated_key_joins_and_another_request_is_told(case, driver, program):
    driver.run(program, 'k1')
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))
    other = driver.accept(program, 'k1', fingerprint='other')
    case.assertEqual(_KIND.KEY_REUSED, other.kind)
    driver.end(program)
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))
    case.assertEqual(_KIND.PROGRAM_ENDED, driver.accept(program, 'k2').kind)


def test_clients_cannot_take_the_key_of_a_step(case, driver, program):
    step = checks.make_step_key('r', 2)
    case.assertEqual(_KIND.BAD_REQUEST, driver.accept(program, step).kind)
    case.assertEqual(_KIND.BAD_REQUEST, driver.accept(program, '').kind)


def test_deadline_refuses_new_calls(case, driver, program):
    late = driver.accept(program, 'k1', now=drivers.DEADLINE)
    case.assertEqual(_KIND.DEADLINE_PASSED, late.kind)


def test_order_is_not_sent_again_without_proof(case, driver, program):
    """A town office gets two invoices for one tile order.

    The order is sent, the reply is lost on the way, and the retry sends it
    to another target while the first one is still working on it.
    """
    _order(driver, program)
    driver.intend(program)
    case.assertEqual(_KIND.OUTCOME_UNKNOWN, driver.intend(program).kind)
    case.assertIsInstance(
        driver.intend(program, 't2', earlier_not_run=True), list
    )


def test_an_attempt_is_made_once(case, driver, program):
    driver.accept(program, 'k1')
    driver.intend(program)
    again = decisions.intend_call(program, 1, 1, 't2', 1)
    case.assertEqual(_KIND.CONFLICT, again.kind)
    driver.answer(program)
    late = decisions.intend_call(program, 1, 2, 't2', 1)
    case.assertEqual(_KIND.CANCELLED, late.kind)


def test_late_and_doubled_answers_change_nothing(case, driver, program):
    """A designer sees an answer in the wrong turn.

    A call fails at its deadline, the next one is answered, and only then
    does the first one's answer arrive, twice.
    """
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.fail(program, _LATE)
    driver.run(program, 'k2')
    before = program.history()
    for number in (1, 2, 1):
        case.assertEqual([], driver.answer(program, number=number))
    case.assertEqual([], driver.fail(program, _LATE, number=1))
    case.assertEqual(before, program.history())
    case.assertEqual(drivers.RESERVED.tokens + 60, program.committed.tokens)


def test_not_run_is_only_said_with_proof(case, driver, program):
    """A caller is told "not run", orders again, and gets two deliveries.

    The first attempt's reply was lost; the second attempt was refused, and
    the refusal was passed on as if it spoke for both.
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


def test_successor_does_not_say_not_run_of_what_it_cannot_know(case, driver):
    """A caller is told "not run" of a call that an engine has answered.

    The intent of an idempotent call does not wait for the journal. The
    instance sends it and dies before its next segment; its successor finds
    a call that looks as if it was never sent.
    """
    program = driver.open()
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.take_over(lost=1)
    program = driver.known[program.id]
    driver.fail(program, _LATE)
    case.assertEqual('deadline_passed_running', program.calls[0].error)


def test_takeover_tells_sent_from_unsent_orders(case, driver):
    sent = driver.open('sent')
    _order(driver, sent)
    driver.intend(sent)
    unsent = driver.open('unsent')
    _order(driver, unsent)
    driver.take_over()
    sent = driver.known[sent.id]
    unsent = driver.known[unsent.id]
    case.assertEqual('outcome_unknown', sent.calls[0].error)
    case.assertEqual(drivers.RESERVED, sent.committed)
    case.assertEqual('accepted', unsent.running.state)
    case.assertIsInstance(driver.intend(unsent), list)


def test_model_does_not_repeat_an_order_of_unknown_outcome(case, driver):
    """Oak flooring is offered twice.

    The instance dies while an order is on its way. The model reads that
    the outcome is unknown and orders the same again under a new request.
    """
    program = driver.open()
    driver.run(program, 'r', run='r', tools=[_ORDER])
    asked = {'run': 'r', 'arguments': _ORDER.arguments}
    _order(driver, program, 'r\n2', tool_call_id='c1', **asked)
    driver.intend(program)
    driver.take_over()
    program = driver.known[program.id]
    driver.run(program, 'r\n3', run='r', messages=(), tools=[_AGAIN])
    asked['arguments'] = _AGAIN.arguments
    _order(driver, program, 'r\n4', tool_call_id='c2', **asked)
    case.assertIsNone(program.running)
    case.assertEqual('conflict', program.calls[-1].error)
    case.assertIn('did not run', program.history()[-1].content)
    driver.run(program, 'r\n5', run='r', messages=())
    by_client = _order(driver, program, 'knows', arguments=_AGAIN.arguments)
    case.assertIsInstance(by_client, list)


def test_a_tool_request_becomes_one_call(case, driver, program):
    """An order runs twice after a takeover.

    The new owner reads the last answer's tool requests again and gives the
    order that was carried out already a second key.
    """
    driver.run(program, 'r', run='r', tools=[_ORDER])
    case.assertEqual((_ORDER,), program.pending_tools)
    asked = {'run': 'r', 'tool_call_id': 'c1'}
    driver.run(program, 'r\n2', 'order', **asked)
    case.assertEqual((), program.pending_tools)
    again = _order(driver, program, 'r\n3', **asked)
    case.assertEqual(_KIND.BAD_REQUEST, again.kind)


def test_a_retry_does_not_repeat_an_order_that_may_have_run(
    case, driver, program
):
    """A fitter's tiles come twice after a caller's retry.

    The instance lost its lease with the order on its way and said that a
    retry may help; the retry with the same key sent the order again.
    """
    _order(driver, program)
    driver.intend(program)
    driver.fail(program, failures.Failure(_KIND.LEASE_LOST, 'lost'))
    again = _order(driver, program)
    case.assertEqual(decisions.DuplicateCall(1), again)


def test_a_retry_on_an_ended_program_is_told_no_more_than_is_known(
    case, driver, program
):
    """A caller is told "not run" of a question that an engine has answered.

    All attempts at the call failed on the way; its caller comes back with
    the key and finds that the program has ended meanwhile.
    """
    failed = failures.Failure(_KIND.TARGETS_FAILED, 'silent')
    driver.accept(program, 'k1')
    driver.intend(program)
    driver.fail(program, failed)
    driver.end(program)
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))


def test_a_kind_of_a_later_version_stops_nothing(case, driver, program):
    driver.accept(program, 'k1')
    later = records.CallFailed(
        program.id, 1, number=1, error='new_kind', reason='unheard of'
    )
    driver.take([later])
    case.assertEqual(decisions.DuplicateCall(1), driver.accept(program, 'k1'))


def test_repeated_key_joins_a_run_that_goes_on(case, driver, program):
    """A second order is dropped, and its run is driven by two at once.

    The first tool of a run found no target. Before the next one began, the
    caller repeated its key, and that began a new turn of the model.
    """
    driver.run(program, 'r', run='r', tools=[_ORDER, _AGAIN])
    _order(driver, program, 'r\n2', run='r', tool_call_id='c1')
    driver.fail(program, failures.Failure(_KIND.NO_TARGET, 'none'))
    repeated = driver.accept(program, 'r', run='r')
    case.assertEqual(decisions.DuplicateCall(1), repeated)
    case.assertEqual((_AGAIN,), program.pending_tools)


def test_open_run_keeps_other_calls_out(case, driver, program):
    driver.run(program, 'r', run='r', tools=[_ORDER])
    case.assertEqual('r', program.open_run)
    other = driver.accept(program, 'k')
    case.assertEqual(_KIND.CALL_IN_PROGRESS, other.kind)
    driver.run(program, 'r\n2', 'order', run='r', tool_call_id='c1')
    driver.run(program, 'r\n3', run='r', messages=())
    case.assertEqual('', program.open_run)
    late = driver.accept(program, 'r\n4', run='r')
    case.assertEqual(_KIND.BAD_REQUEST, late.kind)


def test_cancelled_run_leaves_a_conversation_that_engines_take(
    case, driver, program
):
    """A chat is dead after a cancelled run: each engine refuses it.

    The run was cancelled while its tool call ran and another one waited;
    the engine finds tool requests without an answer.
    """
    driver.run(program, 'r', run='r', tools=[_ORDER, _AGAIN])
    _order(driver, program, 'r\n2', run='r', tool_call_id='c1')
    driver.intend(program)
    cancelled = failures.Failure(_KIND.CANCELLED, 'by the client')
    driver.take(endings.cancel_call(program, (), cancelled, 1))
    case.assertEqual('outcome_unknown', program.calls[-1].error)
    step = driver.accept(program, 'r\n3', run='r')
    case.assertEqual(cancelled, step)
    driver.run(program, 'next')
    answered = [one.tool_call_id for one in program.history()[2:4]]
    case.assertEqual(['c1', 'c2'], answered)
    case.assertEqual('user', program.history()[4].role)


def test_ended_program_fails_what_runs(case, driver):
    """An operator ends a program; each call says what is known of it."""
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


def test_cache_is_held_until_its_release_is_confirmed(case, driver, program):
    """An engine's memory stays full of a program that nobody knows.

    A release of the last turn is confirmed late, while the next turn
    already fills the engine's cache again.
    """
    driver.run(program, 'k1')
    case.assertEqual({'t1'}, program.cache_targets)
    case.assertEqual([], caches.hold_cache(program, 't1', 1))
    driver.accept(program, 'k2')
    driver.intend(program)
    driver.take(caches.release_cache(program, 't1', 1))
    case.assertEqual({'t1'}, program.cache_targets)
    driver.end(program)
    driver.take(caches.release_cache(program, 't1', 1))
    case.assertEqual(set(), program.cache_targets)


load_tests = fixtures.adapt(__name__)
