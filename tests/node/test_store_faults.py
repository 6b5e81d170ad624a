"""Tests of whole instances while the platform's store fails."""

from tests.node import sites
from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.harness import virtual
from vanillayoke.testing import fixtures

_OUTAGE = 5.0


def _ask_for_order(key: str) -> host.CallRequest:
    return host.CallRequest(
        key=key,
        fingerprint=key,
        mode='call',
        text='',
        tool='order',
        arguments='{"sku":1}',
        max_tokens=None,
    )


async def _open_during_outage(site, caller):
    """Open a program, then take the store down for a while."""
    await sites.start_three(site)
    opened = await caller.open('open-1')
    site.platform.faults.down = True
    await site.clock.sleep(_OUTAGE)
    return opened['program'], site.instances[opened['instance']]


async def test_order_is_refused_at_once_while_the_store_is_down(
    case, site, caller
):
    """A surveyor is told at once that the tile order did not run.

    The store has been down for seconds, so the order's intent cannot be
    kept. The owner refuses before the call gets its place, and the order
    is not run when the store is back either.
    """
    program, owner = await _open_during_outage(site, caller)
    began = site.clock.now()
    refused = await owner.served.host.start_call(
        virtual.CLIENT, program, _ask_for_order('order-1')
    )
    case.assertTrue(failures.is_failure(refused), refused)
    case.assertIs(failures.Kind.STORE_UNAVAILABLE, refused.kind)
    case.assertIsNotNone(refused.retry_after)
    case.assertEqual(began, site.clock.now())
    site.platform.faults.down = False
    await site.clock.sleep(30.0)
    case.assertEqual({}, site.services['orders-1'].executions)


async def test_order_of_the_moment_the_store_goes_down_is_answered_soon(
    case, site, caller
):
    """A surveyor waits two minutes for a refusal that was decided at once.

    The store stops answering just before the order: nothing has failed
    yet, so the order gets its place, cannot be sent, and its failure
    cannot be made durable. The caller is told within seconds to come back
    with its key, is not told "not run" of it, and it runs once later.
    """
    await sites.start_three(site)
    opened = await caller.open('open-1')
    owner = site.instances[opened['instance']].served.host
    site.platform.faults.down = True
    request = _ask_for_order('order-1')
    began = site.clock.now()
    stream = await owner.start_call(virtual.CLIENT, opened['program'], request)
    told = await stream.wait()
    case.assertIs(failures.Kind.STORE_UNCERTAIN, told.kind)
    case.assertLess(site.clock.now() - began, 10.0)
    again = await owner.start_call(virtual.CLIENT, opened['program'], request)
    case.assertIs(failures.Kind.STORE_UNCERTAIN, again.kind)
    site.platform.faults.down = False
    await site.clock.sleep(5.0)
    stream = await owner.start_call(virtual.CLIENT, opened['program'], request)
    case.assertIsInstance(await stream.wait(), host.FinalAnswer)
    case.assertEqual([1], list(site.services['orders-1'].executions.values()))


async def test_refused_order_runs_under_its_key_later(case, site, caller):
    """The surveyor repeats the refused order when the store is back."""
    program, owner = await _open_during_outage(site, caller)
    request = _ask_for_order('order-1')
    await owner.served.host.start_call(virtual.CLIENT, program, request)
    site.platform.faults.down = False
    await site.clock.sleep(5.0)
    stream = await owner.served.host.start_call(
        virtual.CLIENT, program, request
    )
    final = await stream.wait()
    case.assertIsInstance(final, host.FinalAnswer)
    case.assertEqual([1], list(site.services['orders-1'].executions.values()))


async def test_answer_waits_for_the_store_and_then_comes(case, site, caller):
    """A model's answer goes on streaming through a short outage.

    Its text comes meanwhile, its end only when it is durable.
    """
    program, owner = await _open_during_outage(site, caller)
    request = host.CallRequest(
        'turn-1', 'turn-1', 'run', '[[say:50]]', '', '', None
    )
    stream = await owner.served.host.start_call(
        virtual.CLIENT, program, request
    )
    await site.clock.sleep(1.0)
    case.assertGreater(stream.length, 0)
    case.assertIsNone(stream.final)
    site.platform.faults.down = False
    final = await stream.wait()
    case.assertIsInstance(final, host.FinalAnswer)


async def test_instance_started_in_an_outage_learns_from_a_peer(
    case, site, caller
):
    """An instance is restarted at night while the store is down.

    It cannot read the configuration, so it knows no client; a caller that
    is told "unknown key" would not come back. The others still probe its
    address; it takes the configuration from one of them.
    """
    await sites.start_three(site)
    site.platform.faults.down = True
    site.kill('instance-3')
    await site.clock.sleep(1.0)
    late = site.add_instance('instance-3', virtual.ZONES[2])
    unknown = late.served.host.find_client(virtual.CLIENT)
    case.assertTrue(unknown.answer.may_retry)
    await late.served.start()
    await site.clock.sleep(30.0)
    case.assertEqual(1, late.served.configuration.version)
    case.assertEqual(
        virtual.CLIENT, late.served.host.find_client(virtual.CLIENT)
    )


load_tests = fixtures.adapt(__name__, [sites])
