"""Crowds of clients that read long responses slowly."""

from tests.crowds import clients
from tests.crowds import processes
from vanillayoke.testing import fixtures

LIMITS = processes.Limits(memory_mb=96)
SECONDS = 8.0


async def _run(site, case, count, path, read=clients.read_slowly):
    await site.start(LIMITS)
    crowd = [
        read(site.front, lambda: site.make_head('POST', path))
        for _ in range(count)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_slow_readers_of_kept_turns(site, case):
    """The text of turns to keep grew without a bound."""
    await _run(site, case, 60, '/chat/large')


@fixtures.on_real_loop
async def test_slow_readers_of_turns_with_long_histories(site, case):
    """Each turn held its history and a prompt with it."""
    await site.start(LIMITS)
    case.assertEqual(200, await site.call('/chat/large'))
    previous = site.last_request
    crowd = [
        clients.read_slowly(
            site.front,
            lambda: site.make_head(
                'POST', '/chat/large', previous_turn=previous
            ),
        )
        for _ in range(60)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_slow_readers_of_streams(site, case):
    """Streams ran ahead of their readers, unread bytes were not counted."""
    await _run(site, case, 200, '/plan/large')


@fixtures.on_real_loop
async def test_slow_readers_of_whole_responses(site, case):
    """Responses that are ready pile up for callers that read slowly."""
    await _run(site, case, 200, '/look/large')


@fixtures.on_real_loop
async def test_callers_that_read_nothing(site, case):
    """Responses that are ready pile up for callers that never read."""
    await _run(site, case, 300, '/look/large', clients.never_read)


@fixtures.on_real_loop
async def test_callers_that_read_no_stream(site, case):
    """Streams pile up for callers that never read."""
    await _run(site, case, 200, '/chat/large', clients.never_read)


@fixtures.on_real_loop
async def test_readers_of_no_answers_of_the_metrics(site, case):
    """Answers to pipelined requests piled up for callers that do not read."""
    await site.start(LIMITS)
    crowd = [
        clients.ask_on_and_on(
            site.metrics, lambda: site.make_head('GET', '/metrics')
        )
        for _ in range(20)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


load_tests = fixtures.adapt(__name__, [processes])
