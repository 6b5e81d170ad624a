"""Tests of how often and how long a call is attempted."""

from tests.node import sites
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.harness import virtual
from vanillayoke.node import attempts as call_attempts
from vanillayoke.testing import fixtures

_BROKEN = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'broken')


async def _begin(site, caller):
    """Accept a call and return its settler, its attempts and the parts."""
    await sites.start_three(site)
    opened = await caller.open('open-1')
    served = site.instances[opened['instance']].served
    request = host.CallRequest('k', 'k', 'call', 'hi', '', '', None)
    await served.host.start_call(virtual.CLIENT, opened['program'], request)
    program = served.programs.find(opened['program'])
    settler = call_attempts.CallSettler(served.parts)
    made = settler.begin(program, program.calls[-1])
    return settler, made, served.parts


async def test_no_retry_beyond_the_deadline(case, site, caller):
    """A caller hears of its failed call only long after its deadline."""
    settler, made, parts = await _begin(site, caller)
    made.deadline = parts.clock.now()
    began = parts.clock.now()
    case.assertFalse(await settler.wait_before_retry(made, _BROKEN, 'e'))
    case.assertEqual(began, parts.clock.now())


async def test_no_retry_beyond_the_budget_of_all_calls(case, site, caller):
    """Engines that come back are knocked over by everybody's retries."""
    settler, made, parts = await _begin(site, caller)
    while parts.retries.take():
        pass
    case.assertFalse(await settler.wait_before_retry(made, _BROKEN, 'e'))


async def test_attempts_that_may_have_run_are_counted(case, site, caller):
    settler, made, _ = await _begin(site, caller)
    waited = [
        await settler.wait_before_retry(made, _BROKEN, 'e') for _ in range(4)
    ]
    case.assertEqual([True, True, True, False], waited)


load_tests = fixtures.adapt(__name__, [sites])
