"""Tests of targets whose responses do not end."""

import asyncio
import types

from tests.gateway import site_fixtures
from vanillayoke.gateway import sse
from vanillayoke.gateway import text_memory
from vanillayoke.gateway import turns
from vanillayoke.soak import hostile_targets
from vanillayoke.testing import fixtures
from vanillayoke.transport import client

Hostility = hostile_targets.Hostility


async def _replace_target(site, name, hostility):
    site.targets[name].stop()
    target = site.targets[name] = hostile_targets.HostileTarget(name)
    target.hostilities.extend([hostility] * 1000)
    host = f'10.8.1.{name[1:]}'
    await target.listen(host, 8080)
    site.register(name, f'{host}:8080', born=2)
    await asyncio.sleep(0.5)
    return target


async def test_safe_request_goes_to_another_target_at_once(case, site):
    """The response was taken in until the request's deadline."""
    await site.start()
    target = await _replace_target(site, 't1', Hostility.ENDLESS_FIELD)
    for hostility in (
        Hostility.ENDLESS_FIELD,
        Hostility.ENDLESS_HEAD,
        Hostility.ENDLESS_BODY,
    ):
        target.hostilities.clear()
        target.hostilities.extend([hostility] * 100)
        await asyncio.sleep(5.0)
        for _ in range(6):
            started_at = site.timers.now()
            response = await site.call('i1', 'look')
            case.assertEqual(200, response.status)
            case.assertLess(site.timers.now() - started_at, 1.5)


async def test_unsafe_request_is_not_sent_again(case, site):
    """It may have run, and must be answered so."""
    await site.start()
    for name in ('t1', 't2'):
        await _replace_target(site, name, Hostility.ENDLESS_FIELD)
    response = await site.call('i1', 'order', request='a')
    case.assertEqual(502, response.status)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_unhealthy_target_gets_few_requests(case, site):
    """A target without an end to its responses kept its share of requests."""
    await site.start()
    target = await _replace_target(site, 't1', Hostility.ENDLESS_FIELD)
    for call in range(60):
        await site.call('i1', 'look', request=f'a{call}')
        await asyncio.sleep(0.02)
    case.assertLess(len(target.executions), 15)


async def test_event_without_end_breaks_its_stream(case, site):
    """It was taken in until the caller gave up."""
    await site.start()
    targets_of_stream = [
        await _replace_target(site, name, Hostility.ENDLESS_EVENT)
        for name in ('m1', 'm2')
    ]
    response = await site.turn('i1', 'a')
    case.assertEqual(502, response.status)
    sent_bytes = sum(target.sent_bytes for target in targets_of_stream)
    case.assertLess(sent_bytes, sse.MAX_EVENT_BYTES + 1024 * 1024)
    case.assertEqual(1, len(site.list_runs('a')))


async def test_text_of_a_kept_turn_is_bounded(case):
    """A stream of sound events without end filled the memory."""
    call = types.SimpleNamespace(request='a', last_event=None)
    held = text_memory.TextMemory(None)
    turn = turns._Turn(types.SimpleNamespace(call=call), 1, held)
    piece = b'x' * (turns.MAX_TEXT_BYTES // 4)
    for _ in range(4):
        await turn.add_data(piece)
    with case.assertRaises(client.BadAnswer):
        await turn.add_data(b'x')


load_tests = fixtures.adapt(__name__, [site_fixtures])
