"""Shared fixtures: a whole small site on a network in memory."""

import asyncio

from tests.gateway import site as site_module
from vanillayoke.core import timers
from vanillayoke.gateway import rendezvous
from vanillayoke.testing import fixtures
from vanillayoke.testing import networks
from vanillayoke.transport import client


@fixtures.fixture
def clock(loop):
    return timers.LoopTimers(loop)


@fixtures.fixture
def network(loop):
    return networks.Network(loop)


@fixtures.fixture
def site(network, clock):
    return site_module.Site(clock, networks.CURRENT_HOST.set)


def rank_coordinators(program, names):
    """Return instances, the best home for a program first."""
    left = [rendezvous.Peer(name, '') for name in names]
    ranked = []
    while left:
        best = rendezvous.find_coordinator(program, left)
        ranked.append(best.instance)
        left.remove(best)
    return ranked


def find_program_with_ranking(*wanted):
    """Return a program whose homes rank in the order wanted."""
    names = (f'new{number}' for number in range(100_000))
    return next(
        name
        for name in names
        if rank_coordinators(name, wanted) == list(wanted)
    )


async def call_or_error(site, instance, route, **more):
    """Return an answer, or the error that ended it."""
    try:
        return await site.call(instance, route, **more)
    except Exception as error:
        return error


async def try_turn(
    site, instance, request, program, budget, max_tokens, route
):
    """Return the answer to a turn; ``None`` if the connection failed."""
    try:
        return await site.turn(
            instance,
            request,
            program=program,
            budget=budget,
            max_tokens=max_tokens,
            route=route,
        )
    except (client.TransportError, OSError):
        return None


def kill(site, network, name):
    """End an instance at once, as a loss of power does."""
    front = site.instances.pop(name)
    host = front.settings.ip
    network.unreachable_hosts.add(host)
    for task in list(front._tasks):
        task.cancel()
    front._maintenance_timer.cancel()
    front._members._probe_timer.cancel()
    for address in [one for one in network.listeners if one[0] == host]:
        del network.listeners[address]
    for address in [one for one in network.sockets if one[0] == host]:
        del network.sockets[address]


async def wait_for_background_work():
    """Let what runs behind a request come to its end."""
    await asyncio.sleep(0.5)
