"""Fixtures of whole deployments in virtual time."""

from vanillayoke.harness import virtual
from vanillayoke.harness import virtual_caller
from vanillayoke.testing import fixtures

PATIENCE = 60.0


@fixtures.fixture
def site(loop):
    """Return a deployment with targets and no instances yet."""
    made = virtual.VirtualSite(loop)
    made.add_engine('engine-1')
    made.add_engine('engine-2')
    made.add_service('supplier-1', 'supplier')
    made.add_service('orders-1', 'orders')
    return made


@fixtures.fixture
def caller(site):
    """Return a caller that repeats its keys for a minute."""
    return virtual_caller.VirtualCaller(site, PATIENCE)


async def start_three(site):
    """Start three instances in three zones under one configuration."""
    await site.publish()
    for number, zone in enumerate(virtual.ZONES, 1):
        await site.start_instance(f'instance-{number}', zone)
    await site.clock.sleep(3.0)
