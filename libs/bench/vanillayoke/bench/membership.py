"""What membership costs and how fast it is, by number of members.

Run as ``python -m vanillayoke.bench.membership [COUNT ...]``; prints one
JSON line per count. Times are virtual, bytes are those of the packets.
"""

import asyncio
import json
import sys
import time
import typing

from vanillayoke.bench import membership_cluster
from vanillayoke.cluster import messages
from vanillayoke.testing import loops

COUNTS = (4, 8, 12, 24, 100, 400)
SEED = 7
LONGEST_WAIT = 300.0
START_TIME = 5.0
SETTLE_TIME = 1.0
IDLE_TIME = 60.0
BUSY_TIME = 30.0


class Rate(typing.NamedTuple):
    """Messages and bytes that one member sends a second."""

    messages: float
    bytes: float


class Figures(typing.NamedTuple):
    """What was measured with one number of members; times in seconds."""

    members: int
    together_s: float | None
    joined_s: float | None
    starting_bytes_s: int
    idle_messages_s: float
    idle_bytes_s: int
    busiest_bytes_s: int
    failure_bytes_s: int
    suspected_by_first_s: float | None
    suspected_by_all_s: float | None
    failed_for_all_s: float | None
    news_to_all_s: float | None
    cpu_us_per_message: float


async def measure(count: int) -> Figures:
    """Measure a cluster of a number of members."""
    cluster = membership_cluster.Cluster(SEED)
    began_cpu = time.process_time()
    await cluster.start(count - 1)
    starting = asyncio.ensure_future(_measure_rate(cluster, START_TIME))
    together = await cluster.wait_until(cluster.sees_all_alive, LONGEST_WAIT)
    start_rate, _ = await starting
    # The news of so many starts goes round for long after all have them.
    await cluster.timers.sleep(count * SETTLE_TIME)
    idle, busiest = await _measure_rate(cluster, IDLE_TIME)
    await cluster.start(1)
    joined = await cluster.wait_until(cluster.sees_all_alive, LONGEST_WAIT)
    news = await _measure_news(cluster)
    failure = await _measure_failure(cluster)
    sent = sum(cluster.network.sent_messages.values())
    cpu = time.process_time() - began_cpu
    await cluster.stop()
    return Figures(
        count,
        _round(together),
        _round(joined),
        round(start_rate.bytes),
        round(idle.messages, 2),
        round(idle.bytes),
        round(busiest),
        round(failure[0].bytes),
        *(_round(seconds) for seconds in failure[1:]),
        _round(news),
        round(cpu / sent * 1e6, 1),
    )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 1)


async def _measure_rate(
    cluster: membership_cluster.Cluster, seconds: float
) -> tuple[Rate, float]:
    """Return the mean rate and the bytes a second of the busiest member."""
    network = cluster.network
    before = dict(network.sent_bytes)
    messages_before = sum(network.sent_messages.values())
    await cluster.timers.sleep(seconds)
    sent = [
        count - before.get(address, 0)
        for address, count in network.sent_bytes.items()
    ]
    message_count = sum(network.sent_messages.values()) - messages_before
    per_member = len(cluster.nodes) * seconds
    rate = Rate(message_count / per_member, sum(sent) / per_member)
    return rate, max(sent) / seconds


async def _measure_news(
    cluster: membership_cluster.Cluster,
) -> float | None:
    version = 1
    cluster.nodes[0].members.publish_news(
        messages.ConfigurationUpdate(version)
    )
    return await cluster.wait_until(
        lambda: all(
            node.members.configuration_heard == version
            for node in cluster.nodes
        ),
        LONGEST_WAIT,
    )


async def _measure_failure(
    cluster: membership_cluster.Cluster,
) -> tuple[Rate, float | None, float | None, float | None]:
    """Return the rate, and when a failure was seen first and by all."""
    victim = cluster.nodes[0]
    rate = asyncio.ensure_future(_measure_rate(cluster, BUSY_TIME))
    await cluster.fail(victim)
    begin = cluster.timers.now()

    async def wait(condition) -> float | None:
        reached = await cluster.wait_until(condition, LONGEST_WAIT)
        return None if reached is None else cluster.timers.now() - begin

    def views() -> list:
        return cluster.list_views(victim.name)

    alive = messages.State.ALIVE
    failed = messages.State.FAILED
    first = await wait(lambda: any(state is not alive for state in views()))
    suspected = await wait(
        lambda: all(state is not alive for state in views())
    )
    gone = await wait(lambda: all(state is failed for state in views()))
    return (await rate)[0], first, suspected, gone


def run_virtual(coroutine: typing.Coroutine) -> typing.Any:
    """Run a coroutine on a loop in virtual time."""
    loop = loops.VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.finish()
        loop.close()


def main(arguments: list[str]) -> int:
    """Print the figures of each number of members."""
    for count in [int(argument) for argument in arguments] or COUNTS:
        figures = run_virtual(measure(count))
        print(json.dumps(figures._asdict()), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
