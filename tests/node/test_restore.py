"""Tests of KV caches that were exported in a tool pause."""

import unittest.mock

from tests.node import sites
from vanillayoke.node import dispatcher
from vanillayoke.testing import fixtures


async def _run_restored(site, caller, import_cache):
    """Run a turn that is placed with the order to restore its cache."""
    await sites.start_three(site)
    opened = await caller.open('open-1')
    owner = site.instances[opened['instance']].served
    owner.parts.exports[opened['program']] = 'engine-1/export/50'
    place = dispatcher.Dispatcher.place

    async def place_restored(self, demand):
        placed = await place(self, demand)
        return placed._replace(restore=True)

    for engine in site.engines.values():
        engine.import_cache = import_cache
    with unittest.mock.patch.object(
        dispatcher.Dispatcher, 'place', place_restored
    ):
        told = await caller.run(opened['program'], 'turn-1', '[[say:9]]')
    return opened['program'], told, owner.parts.exports


async def test_exported_cache_is_imported_before_its_call(case, site, caller):
    imported = []

    async def note_import(session, handle):
        imported.append((session, handle))
        return 50

    program, told, exports = await _run_restored(site, caller, note_import)
    case.assertEqual([(program, 'engine-1/export/50')], imported)
    case.assertEqual({}, exports)
    case.assertEqual(told.text, told.final.text)


async def test_import_that_hangs_holds_its_call_up_only_shortly(
    case, site, caller
):
    """A designer waits a minute for an answer of one line.

    The engine hangs while it imports the program's cache; computing the
    prefix anew would have taken a moment.
    """
    began = []

    async def hang(session, handle):
        began.append(site.clock.now())
        await site.clock.sleep(600.0)

    _, told, _ = await _run_restored(site, caller, hang)
    case.assertEqual(told.text, told.final.text)
    case.assertLess(site.clock.now() - began[0], 5.0)


load_tests = fixtures.adapt(__name__, [sites])
