"""Tests of stopping whole instances in order."""

import asyncio

from tests.node import sites
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import host
from vanillayoke.harness import virtual
from vanillayoke.testing import fixtures

_LONG = '[[say:400]]'


def _find_key(site, owner: str, avoid: str = '') -> str:
    """Return a key whose program is owned by an instance."""
    ownership = site.instances[owner].served.ownership
    for number in range(1000):
        key = f'open-{number}'
        program = ids.derive_program_id(virtual.CLIENT, key)
        held = ownership.held_epoch(ids.find_shard(program))
        if held is not None and key != avoid:
            return key
    raise LookupError(owner)


async def test_idle_program_goes_on_elsewhere_while_a_run_ends(
    case, site, caller
):
    """A designer's next question waits for somebody else's long answer.

    The owner of both programs stops in order and finishes the run that is
    under way; the program between two turns must not wait for that.
    """
    await sites.start_three(site)
    busy_key = _find_key(site, 'instance-1')
    idle_key = _find_key(site, 'instance-1', busy_key)
    busy = await caller.open(busy_key)
    idle = await caller.open(idle_key)
    site.engines['engine-1'].batch.slow = 20.0
    site.engines['engine-2'].batch.slow = 20.0
    running = asyncio.ensure_future(
        caller.run(busy['program'], 'turn-1', _LONG)
    )
    await site.clock.sleep(0.5)
    stopping = asyncio.ensure_future(site.stop('instance-1', 30.0))
    await site.clock.sleep(6.0)
    case.assertFalse(stopping.done())
    moved = await caller.view(idle['program'])
    case.assertNotEqual('instance-1', moved['instance'])
    told = await running
    await stopping
    case.assertIsInstance(told.final, host.FinalAnswer)
    case.assertEqual((), told.failed)


async def test_rolling_replacement_loses_no_program(case, site, caller):
    """All instances are replaced at night, one after the other.

    A program that runs turn after turn meanwhile keeps its history, and
    its caller gets every answer.
    """
    await sites.start_three(site)
    opened = await caller.open('open-1')
    program = opened['program']
    answers = []

    async def talk() -> None:
        for number in range(12):
            told = await caller.run(program, f'turn-{number}', '[[say:30]]')
            answers.append(told)
            await site.clock.sleep(1.0)

    talking = asyncio.ensure_future(talk())
    for number, zone in enumerate(virtual.ZONES, 1):
        await site.start_instance(f'new-{number}', zone)
        await site.clock.sleep(2.0)
        await site.stop(f'instance-{number}', 10.0)
    await talking
    failed = [one for one in answers if failures.is_failure(one.final)]
    case.assertEqual([], failed)
    history = await caller.read_history(program)
    said = [
        entry['content']
        for entry in history
        if entry.get('role') == 'assistant'
    ]
    case.assertEqual([one.final.text for one in answers], said)


load_tests = fixtures.adapt(__name__, [sites])
