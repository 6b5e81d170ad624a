"""Tests of targets that send a response a second time, late."""

import asyncio
import collections

from tests.gateway import site_fixtures
from vanillayoke.soak import hostile_targets
from vanillayoke.standins import targets
from vanillayoke.testing import fixtures

_REPEAT = hostile_targets.Hostility.REPEAT_REJECTION
_REPEAT_UNNAMED = hostile_targets.Hostility.REPEAT_UNNAMED


async def _replace_targets(site, names, hostility):
    for name in names:
        site.targets[name].stop()
        target = hostile_targets.HostileTarget(name)
        target.hostilities.extend([hostility] * 1000)
        target.event_count = site.targets[name].event_count
        site.targets[name] = target
        host = f'10.8.1.{name[1:]}'
        await target.listen(host, 8080)
        site.register(name, f'{host}:8080', born=2)
    await asyncio.sleep(0.5)


async def _run_rejected(case, site, names, send):
    """Send requests that are rejected several times before they run."""
    outcomes = collections.Counter()
    for number in range(20):
        for name in names:
            site.targets[name].faults.extend([targets.Fault.SHED] * 3)
        request = f'a{number}'
        response = await send(request)
        outcomes[response.status] += 1
        runs = site.list_runs(request)
        case.assertLessEqual(len(runs), 1, msg=f'{request} ran at {runs}')
        if response.status in (429, 503):
            case.assertEqual([], runs, msg=f'{request} was refused')
        for name in names:
            site.targets[name].faults.clear()
    case.assertEqual(20, outcomes[200], msg=outcomes)


async def test_late_copy_of_a_rejection_does_not_run_a_request_twice(
    case, site
):
    """The copy passed for the response to the same request, sent again.

    The request ran at one target and was then sent to another.
    """
    await site.start()
    await _replace_targets(site, ('t1', 't2'), _REPEAT)
    await _run_rejected(
        case,
        site,
        ('t1', 't2'),
        lambda name: site.call('i1', 'order', request=name),
    )


async def test_late_copy_of_a_rejection_does_not_run_a_stream_twice(
    case, site
):
    """A stream that must not run twice takes the same way as a request."""
    await site.start()
    await _replace_targets(site, ('m1', 'm2'), _REPEAT)
    await _run_rejected(
        case,
        site,
        ('m1', 'm2'),
        lambda name: site.turn('i1', name, program=name),
    )


async def test_late_copy_without_an_id_does_not_run_a_request_twice(
    case, site
):
    """A response without an ID was taken for that to any request."""
    await site.start()
    await _replace_targets(site, ('t1', 't2'), _REPEAT_UNNAMED)
    for number in range(20):
        for name in ('t1', 't2'):
            site.targets[name].faults.append(targets.Fault.SHED)
        request = f'a{number}'
        response = await site.call('i1', 'order', request=request)
        runs = site.list_runs(request)
        case.assertLessEqual(len(runs), 1, msg=f'{request} ran at {runs}')
        if response.status in (429, 503):
            case.assertEqual([], runs, msg=f'{request} was refused')


load_tests = fixtures.adapt(__name__, [site_fixtures])
