"""Fixtures and helpers for tests with a site on a simulated network."""

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
    """Return instances in their order of preference as coordinator."""
    remaining = [rendezvous.Peer(name, '') for name in names]
    ranked = []
    while remaining:
        best = rendezvous.find_coordinator(program, remaining)
        ranked.append(best.instance)
        remaining.remove(best)
    return ranked


def find_program_with_ranking(*instances):
    """Return a program for which the instances rank in the given order."""
    names = (f'new{number}' for number in range(100_000))
    return next(
        name
        for name in names
        if rank_coordinators(name, instances) == list(instances)
    )


async def call_or_error(site, instance, route, **header_fields):
    """Return the response to a request, or the exception raised."""
    try:
        return await site.call(instance, route, **header_fields)
    except Exception as error:
        return error


async def try_turn(
    site, instance, request, program, budget, max_tokens, route
):
    """Return the response to a turn, ``None`` if the connection failed."""
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
    """Stop an instance abruptly, as a power failure would."""
    instance = site.instances.pop(name)
    host = instance.settings.ip
    network.unreachable_hosts.add(host)
    for task in list(instance._tasks):
        task.cancel()
    instance._maintenance_timer.cancel()
    if instance._members._probe_timer is not None:
        instance._members._probe_timer.cancel()
    for address in [key for key in network.listeners if key[0] == host]:
        del network.listeners[address]
    for address in [key for key in network.sockets if key[0] == host]:
        del network.sockets[address]


async def restart_all_as_first(site, network):
    """Kill all instances, and start them with settings of a first start."""
    names = list(site.instances)
    for name in names:
        kill(site, network, name)
    await asyncio.sleep(0.5)
    network.restore_paths()
    site.is_first_start = True
    for name in names:
        await site.add_instance(name)
    await asyncio.sleep(1.0)


async def stop(site, name):
    """Stop an instance gracefully; its process ends right after that."""
    instance = site.instances[name]
    await instance.stop()
    # As asyncio.run does before it closes the loop.
    connections = [
        connection
        for listener, _ in instance._listeners
        for connection in listener.connections
    ]
    tasks = [one._task for one in connections if one._task is not None]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks)
    for connection in connections:
        connection.abort()


async def wait_for_background_work():
    """Wait until background work after a request has finished."""
    await asyncio.sleep(0.5)
