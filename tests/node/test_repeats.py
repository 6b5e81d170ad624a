"""Tests of callers that come back with the key of a failed request."""

from tests.node import sites
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.fakes import engine_model
from vanillayoke.harness import virtual
from vanillayoke.testing import fixtures


def _ask(key: str, max_tokens: int | None = None) -> host.CallRequest:
    return host.CallRequest(key, key, 'run', '[[say:20]]', '', '', max_tokens)


async def _open(site, caller):
    await sites.start_three(site)
    opened = await caller.open('open-1')
    owner = site.instances[opened['instance']].served.host
    return opened['program'], owner


async def _finish(owner, program, request):
    stream = await owner.start_call(virtual.CLIENT, program, request)
    return await stream.wait()


def _set_engines_dead(site, dead):
    for engine in site.engines.values():
        engine.set_faults(engine_model.EngineFaults(calls=0, dead=dead))


async def test_repeated_key_gets_through_once_engines_are_back(
    case, site, caller
):
    """A designer is told to come back, and the board then answers.

    All engines are down, so the run fails with a kind that may be retried.
    The same key a little later must not get the recorded refusal, and the
    question must not stand in the conversation twice.
    """
    program, owner = await _open(site, caller)
    _set_engines_dead(site, True)
    failed = await _finish(owner, program, _ask('turn-1'))
    case.assertTrue(failures.is_failure(failed), failed)
    case.assertTrue(failed.answer.may_retry, failed)
    case.assertIsNotNone(failed.retry_after)
    _set_engines_dead(site, False)
    await site.clock.sleep(40.0)
    told = await _finish(owner, program, _ask('turn-1'))
    case.assertIsInstance(told, host.FinalAnswer)
    history = await owner.read_history(virtual.CLIENT, program, 0, 100)
    asked = [entry for entry in history if entry.get('role') == 'user']
    case.assertEqual(1, len(asked))


async def test_run_waits_out_a_moment_without_any_engine(case, site, caller):
    """A program of many turns does not end because engines blink.

    All engines refuse for five seconds; the call waits for one of them
    instead of failing its whole run.
    """
    program, owner = await _open(site, caller)
    _set_engines_dead(site, True)
    site.clock.call_after(5.0, lambda: _set_engines_dead(site, False))
    told = await _finish(owner, program, _ask('turn-1'))
    case.assertIsInstance(told, host.FinalAnswer)


async def test_answered_key_is_not_run_again(case, site, caller):
    program, owner = await _open(site, caller)
    first = await _finish(owner, program, _ask('turn-1'))
    again = await _finish(owner, program, _ask('turn-1'))
    case.assertEqual(first, again)
    view = await owner.view_program(virtual.CLIENT, program)
    case.assertEqual(1, view['calls'])


async def test_key_of_another_request_is_refused(case, site, caller):
    program, owner = await _open(site, caller)
    await _finish(owner, program, _ask('turn-1'))
    other = _ask('turn-1')._replace(fingerprint='other')
    refused = await owner.start_call(virtual.CLIENT, program, other)
    case.assertIs(failures.Kind.KEY_REUSED, refused.kind)


async def test_callers_own_token_limit_is_kept(case, site, caller):
    program, owner = await _open(site, caller)
    told = await _finish(owner, program, _ask('turn-1', max_tokens=3))
    case.assertEqual(3, len(told.text.split()))


load_tests = fixtures.adapt(__name__, [sites])
