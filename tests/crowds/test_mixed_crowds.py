"""Crowds of clients that misbehave in different ways at once."""

from tests.crowds import clients
from tests.crowds import processes
from vanillayoke.testing import fixtures

LIMITS = processes.Limits(memory_mb=96)
SECONDS = 10.0
CLIENTS_OF_EACH_KIND = 30


@fixtures.on_real_loop
async def test_all_kinds_at_once(site, case):
    """Each kind alone fitted into the memory, but not all of them."""
    await site.start(LIMITS)

    def make_head(path):
        return lambda: site.make_head('POST', path)

    def make_body_head(size):
        return site.make_head('POST', '/look/x', size)

    lines = clients.SHORT_LINE
    crowd = []
    for _ in range(CLIENTS_OF_EACH_KIND):
        crowd += [
            clients.read_slowly(site.front, make_head('/chat/large')),
            clients.read_slowly(site.front, make_head('/plan/large')),
            clients.never_read(site.front, make_head('/look/large')),
            clients.send_and_wait(site.front, make_head('/wait/x'), lines),
            clients.pipeline(site.front, make_head('/wait/x'), lines),
            clients.leave_head_open(site.front, make_head('/look/x'), lines),
            clients.send_body_slowly(site.front, make_body_head),
            clients.pipeline(site.directory, make_head('/'), lines),
        ]
    await processes.run_crowd(site, case, crowd, SECONDS)


load_tests = fixtures.adapt(__name__, [processes])
