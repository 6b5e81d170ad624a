"""What writing an event and counting a metric cost.

Run as ``python -m vanillayoke.bench.events``; prints one JSON line. Times are
CPU time; log lines go to the null device.
"""

import asyncio
import json
import os
import sys
import time
import tracemalloc
import typing

from vanillayoke.core import events
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timeline
from vanillayoke.core import timers

REPEATS = 100_000
CLIENTS = 500


def measure(step: typing.Callable[[], None]) -> float:
    """Return the CPU microseconds of a step."""
    began = time.process_time()
    for _ in range(REPEATS):
        step()
    return round((time.process_time() - began) / REPEATS * 1e6, 2)


def _make_logger(output: logs.LogOutput | None = None) -> logs.Logger:
    service = timers.LoopTimers(asyncio.new_event_loop())
    return logs.Logger.from_config('entry-1', service, output=output)


def _make_write(logger: logs.Logger) -> typing.Callable[[], None]:
    def write() -> None:
        logger.write(
            events.CALL_DISPATCHED,
            program='prg-1f0c3bd2a9e84f5c8e0d2b7a6c5f4e3d',
            call='call-1f0c3bd2a9e84f5c8e0d2b7a6c5f4e3d',
            target='engine-a',
            attempt=1,
        )

    return write


def measure_ring_memory() -> int:
    """Return the bytes that a full time line takes."""
    logger = _make_logger()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(timeline.DEFAULT_CAPACITY):
        logger.write(
            events.CALL_DISPATCHED,
            program=f'prg-{number:032x}',
            call=f'call-{number:032x}',
            target='engine-a',
            attempt=1,
        )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def measure_rendering() -> float:
    """Return the CPU milliseconds of a page with many clients."""
    registry = metrics.Metrics()
    for number in range(CLIENTS):
        registry.program_latency.observe(1.0, client=f'client-{number}')
        registry.tokens.add(5, client=f'client-{number}', kind='prompt')
    began = time.process_time()
    registry.render()
    return round((time.process_time() - began) * 1e3, 1)


def main() -> int:
    """Print the costs."""
    registry = metrics.Metrics()
    with open(os.devnull, 'w') as stream:
        output = logs.start_logging(stream)
        figures = {
            'ring_us': measure(_make_write(_make_logger())),
            'ring_and_line_us': measure(_make_write(_make_logger(output))),
            'count_us': measure(lambda: registry.takeovers.add()),
            'observe_us': measure(
                lambda: registry.wait.observe(0.2, cause='queue')
            ),
            'full_ring_bytes': measure_ring_memory(),
            f'render_{CLIENTS}_clients_ms': measure_rendering(),
        }
        output.close()
    print(json.dumps(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
