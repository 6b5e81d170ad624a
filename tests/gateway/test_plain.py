"""Tests of tools' calls: at most once, truly refused, the right answer."""

import asyncio

from tests.gateway import site_fixtures
from vanillayoke.standins import calls
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures


def _spoil(site, fault, times=1):
    for name in ('t1', 't2'):
        site.targets[name].faults.extend([fault] * times)


async def test_order_whose_answer_is_lost_runs_once(case, site):
    """A sample order runs and its answer is lost on the way.

    Whether it ran is not known here, so it is neither sent again nor called
    "not run": a second try would be a second invoice.
    """
    await site.start()
    _spoil(site, targets.Fault.LOSE_ANSWER, 3)
    answer = await site.call('i1', 'order', request='a')
    case.assertEqual(502, answer.status)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_order_that_a_server_did_not_run_goes_to_another(case, site):
    await site.start()
    site.targets['t1'].faults.append(targets.Fault.SHED)
    site.targets['t2'].faults.append(targets.Fault.SHED)
    answer = await site.call('i1', 'order', b'oak', request='a')
    case.assertEqual(200, answer.status)
    case.assertEqual(b'done oak', answer.body)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_safe_call_is_sent_again_after_a_lost_answer(case, site):
    await site.start()
    site.targets['t1'].faults.extend(
        [targets.Fault.LOSE_ANSWER, targets.Fault.GARBAGE]
    )
    answers = [
        await site.call('i1', 'look', method=b'GET', request=f'a{n}')
        for n in range(8)
    ]
    case.assertEqual({200}, {answer.status for answer in answers})
    case.assertGreaterEqual(len(site.targets['t1'].executions), 1)


async def test_second_answer_to_an_earlier_call_is_skipped(case, site):
    """A faulty server answers an earlier request again.

    The bytes arrive where the answer to this one is expected; the caller
    must get its own answer, and nobody the other one.
    """
    await site.start()
    _spoil(site, targets.Fault.EXTRA_ANSWER)
    answer = await site.call('i1', 'order', b'oak', request='a')
    case.assertEqual(b'done oak', answer.body)


async def test_cut_answer_is_not_passed_on_as_whole(case, site):
    await site.start()
    _spoil(site, targets.Fault.TRUNCATE_ANSWER, 3)
    answer = await site.call('i1', 'order', request='a')
    case.assertEqual(502, answer.status)


async def test_servers_own_error_is_passed_on_unchanged(case, site):
    await site.start()
    _spoil(site, targets.Fault.ERROR)
    answer = await site.call('i1', 'order', request='a')
    case.assertEqual((500, b'failed'), (answer.status, answer.body))
    case.assertIn(b'x-vanillayoke-server-stamp', answer.headers)


async def test_fields_that_only_the_system_sets_are_dropped(case, site):
    """A caller sends fields that would hold a server's memory."""
    await site.start()
    await site.call(
        'i1', 'order', request='a', hold='h1', pin_ms='9000',
        kv_backup='10.0.0.1:1', request_urgency='0',
    )  # fmt: skip
    [run] = site.list_runs('a')
    for name in ('hold', 'pin-ms', 'kv-backup', 'request-urgency'):
        case.assertNotIn(f'x-vanillayoke-{name}'.encode(), run.headers)
    case.assertIn(b'x-vanillayoke-expect-instance', run.headers)


async def test_deadline_is_passed_on_shortened(case, site):
    await site.start()
    await site.call('i1', 'order', request='a')
    [run] = site.list_runs('a')
    left = int(run.headers[b'x-vanillayoke-deadline-ms'])
    case.assertLessEqual(left, 3000)
    case.assertGreater(left, 2500)


async def test_address_with_another_server_runs_nothing(case, site, network):
    """A server has gone and another one has its address.

    The request names the server that it is meant for, so the other one
    says that it did not run it; it then goes to a server that is there.
    """
    await site.start()
    site.targets['t1'].name = 'somebody-else'
    answers = [
        await site.call('i1', 'order', request=f'a{n}') for n in range(4)
    ]
    case.assertEqual({200}, {answer.status for answer in answers})
    case.assertEqual([], site.targets['t1'].executions)


async def test_silent_server_does_not_hold_a_call_past_its_time(case, site):
    await site.start()
    _spoil(site, targets.Fault.UNRESPONSIVE, 3)
    began = site.timers.now()
    answer = await site.call('i1', 'order', request='a')
    case.assertEqual(504, answer.status)
    case.assertLess(site.timers.now() - began, 3.1)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_safe_call_into_silence_is_given_up_in_time_for_another(
    case, site
):
    """A server takes a safe call and says nothing.

    The caller is told soon enough to try again within its deadline.
    """
    await site.start()
    _spoil(site, targets.Fault.UNRESPONSIVE, 1)
    began = site.timers.now()
    answer = await site.call('i1', 'look', method=b'GET')
    case.assertEqual(502, answer.status)
    case.assertLess(site.timers.now() - began, 1.5)


async def test_second_try_does_not_meet_the_same_silence(case, site):
    """One server of two says nothing; the caller tries again at once."""
    await site.start()
    site.targets['t1'].faults.extend([targets.Fault.UNRESPONSIVE] * 20)
    statuses = []
    for _ in range(8):
        answer = await site.call('i1', 'look', method=b'GET')
        statuses.append(answer.status)
        if answer.status != 200:
            answer = await site.call('i1', 'look', method=b'GET')
            case.assertEqual(200, answer.status)
    case.assertIn(502, statuses)


async def test_short_route_times_out_without_blaming_the_server(case, site):
    """A route allows less time than its requests take.

    Each ends at the route's time; the servers are well and stay in use.
    """
    await site.start()
    route = calls.make_route('brief', 'tools', 'safe', timeout_ms=400)
    site.store.put('op', 'config', calls.make_configuration(2, [route]))
    await asyncio.sleep(0.1)
    for name in ('t1', 't2'):
        site.targets[name].service_time = 2.0
    for _ in range(4):
        answer = await site.call('i1', 'brief', method=b'GET')
        case.assertEqual(504, answer.status)
    case.assertEqual([], site.list_events('i1', 'target_sick'))


async def test_path_without_a_route_is_404(case, site):
    await site.start()
    answer = await site.call('i1', 'nowhere')
    case.assertEqual(404, answer.status)


async def test_instance_without_configuration_says_come_back(case, site):
    await site.add_instance('i1')
    answer = await site.call('i1', 'order')
    case.assertEqual(503, answer.status)


async def test_connection_is_used_again(case, site, network):
    await site.start(1)
    for _ in range(10):
        await site.call('i1', 'look', method=b'GET')
        await asyncio.sleep(0.05)
    opened = sum(
        network.connection_counts[f'10.8.0.{n}', 8080] for n in (3, 4)
    )
    case.assertLessEqual(opened, 4)


load_tests = fixtures.adapt(__name__, [site_fixtures])
