"""Tests of the metrics that follow from events."""

from tests.node import sites
from vanillayoke.testing import fixtures

_ORDER = '[[tool:order {"sku":1}]][[say:20]]'


async def test_a_programs_calls_are_counted(case, site, caller):
    await sites.start_three(site)
    opened = await caller.open('open-1')
    await caller.run(opened['program'], 'turn-1', _ORDER)
    await caller.end(opened['program'])
    await site.clock.sleep(5.0)
    owner = site.instances[opened['instance']].served
    page = owner.parts.registry.render().body.decode()
    for line in (
        'vanillayoke_calls_total{kind="model",outcome="answered"} 2',
        'vanillayoke_calls_total{kind="tool",outcome="answered"} 1',
        'vanillayoke_programs_ended_total{outcome="finished"} 1',
        'vanillayoke_tokens_total{client="tkacik",kind="completion"} ',
        'vanillayoke_configuration_version 1',
        'vanillayoke_programs_open 1',
    ):
        case.assertIn(line, page)


load_tests = fixtures.adapt(__name__, [sites])
