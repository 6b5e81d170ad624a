"""Crowds of clients with heads of very many short or odd lines."""

from tests.crowds import clients
from tests.crowds import processes
from vanillayoke.testing import fixtures

LIMITS = processes.Limits(memory_mb=96)
SECONDS = 6.0
WAITING_CLIENTS = 300
PIPELINING_CLIENTS = 100


async def _run(site, case, send, count, path, lines):
    await site.start(LIMITS)
    crowd = [
        send(site.front, lambda: site.make_head('POST', path), lines)
        for _ in range(count)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


async def _pipeline_at(site, case, name, path):
    await site.start(LIMITS)
    crowd = [
        clients.pipeline(
            getattr(site, name),
            lambda: site.make_head('GET', path),
            clients.SHORT_LINE,
        )
        for _ in range(PIPELINING_CLIENTS)
    ]
    await processes.run_crowd(site, case, crowd, SECONDS)


@fixtures.on_real_loop
async def test_heads_of_short_lines_that_wait(site, case):
    """A line of six bytes was held as three objects until the response."""
    await _run(
        site,
        case,
        clients.send_and_wait,
        WAITING_CLIENTS,
        '/wait/x',
        clients.SHORT_LINE,
    )


@fixtures.on_real_loop
async def test_heads_of_odd_lines_that_wait(site, case):
    """Repeated names, empty values, commas and tabs took more than bytes."""
    await _run(
        site,
        case,
        clients.send_and_wait,
        WAITING_CLIENTS,
        '/wait/x',
        clients.ODD_LINES,
    )


@fixtures.on_real_loop
async def test_unfinished_heads(site, case):
    """Heads without an end held objects until the time for a head."""
    await _run(
        site,
        case,
        clients.leave_head_open,
        WAITING_CLIENTS,
        '/look/x',
        clients.SHORT_LINE,
    )


@fixtures.on_real_loop
async def test_heads_pipelined_behind_a_request(site, case):
    """Sixteen heads were parsed while a request before them waited."""
    await _run(
        site,
        case,
        clients.pipeline,
        PIPELINING_CLIENTS,
        '/wait/x',
        clients.SHORT_LINE,
    )


@fixtures.on_real_loop
async def test_heads_pipelined_at_the_directory(site, case):
    """The directory had no account, and unsent answers had no bound."""
    path = '/-/resolve?name=site.example&region=r1&zone=z1'
    await _pipeline_at(site, case, 'directory', path)


@fixtures.on_real_loop
async def test_heads_pipelined_at_the_readiness_check(site, case):
    """The address of readiness had no account."""
    await _pipeline_at(site, case, 'readiness', '/-/readyz')


@fixtures.on_real_loop
async def test_heads_pipelined_at_the_metrics(site, case):
    """The address of the metrics had no account."""
    await _pipeline_at(site, case, 'metrics', '/metrics')


@fixtures.on_real_loop
async def test_heads_pipelined_at_the_relay(site, case):
    """The address for other instances had no account."""
    await _pipeline_at(site, case, 'relay', '/-/rows-get?table=op&part=')


load_tests = fixtures.adapt(__name__, [processes])
