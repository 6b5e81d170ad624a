"""Crowds of clients that use up the descriptors of a process."""

from tests.crowds import clients
from tests.crowds import processes
from vanillayoke.testing import fixtures

LIMITS = processes.Limits(memory_mb=128, descriptors=260)
SECONDS = 6.0
CLIENTS = 300


@fixtures.on_real_loop
async def test_connections_that_send_nothing(site, case):
    """Idle connections took the descriptors that others needed."""
    await site.start(LIMITS)
    crowd = [clients.stay_idle(site.front) for _ in range(CLIENTS)]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_idle_connections_at_all_listeners(site, case):
    """Each listener could use up the descriptors of the process."""
    await site.start(LIMITS)
    addresses = (
        site.front,
        site.directory,
        site.readiness,
        site.metrics,
        site.relay,
    )
    crowd = [
        clients.stay_idle(addresses[number % len(addresses)])
        for number in range(CLIENTS)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_connections_with_unfinished_heads(site, case):
    """Requests that do not end took the descriptors that others needed."""
    await site.start(LIMITS)
    crowd = [
        clients.leave_head_open(
            site.front,
            lambda: site.make_head('POST', '/look/x'),
            clients.SHORT_LINE,
        )
        for _ in range(CLIENTS)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_connections_that_ask_and_do_not_read(site, case):
    """Connections whose responses are not taken never made room."""
    await site.start(LIMITS)
    crowd = [
        clients.ask_on_and_on(
            site.front, lambda: site.make_head('GET', '/look/large')
        )
        for _ in range(CLIENTS)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_connections_that_do_not_read_a_response(site, case):
    """Connections whose response is not taken never made room."""
    await site.start(LIMITS)
    crowd = [
        clients.never_read(
            site.front, lambda: site.make_head('GET', '/look/large')
        )
        for _ in range(CLIENTS)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_limit_of_the_process_below_that_of_the_settings(site, case):
    """A process with fewer descriptors than its settings say did not tell."""
    await site.start(
        processes.Limits(memory_mb=128, descriptors=2000, open_files=260)
    )
    crowd = [clients.stay_idle(site.front) for _ in range(CLIENTS)]
    await processes.run_crowd(site, case, crowd, SECONDS)
    # The whole log would be printed by assertIn.
    case.assertGreater(site.log.count('descriptor_limit_low'), 0)


load_tests = fixtures.adapt(__name__, [processes])
