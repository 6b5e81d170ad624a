"""Runs seeds of the soak; replays and minimises failing runs."""

import asyncio
import concurrent.futures
import multiprocessing
import pathlib
import shutil
import sys
import time

from absl import app
from absl import flags
import msgspec

from vanillayoke.soak import links
from vanillayoke.soak import load
from vanillayoke.soak import plans
from vanillayoke.soak import runs
from vanillayoke.soak import servers
from vanillayoke.soak import sites

FLAGS = flags.FLAGS
flags.DEFINE_list('seeds', [], 'Seeds to run; derived from the time if none.')
flags.DEFINE_integer('count', 1, 'Number of seeds to run if none are given.')
flags.DEFINE_float('minutes', 0.0, 'Run further seeds for this many minutes.')
flags.DEFINE_integer(
    'processes', 13, 'Approximate number of processes of a run.'
)
flags.DEFINE_integer('jobs', 1, 'Number of concurrent runs.')
flags.DEFINE_float('faulty', 20.0, 'Seconds during which faults are injected.')
flags.DEFINE_float('calm', 17.0, 'Seconds without faults after that.')
flags.DEFINE_string('replay', None, 'Folder of a failed run to replay.')
flags.DEFINE_bool(
    'minimise', False, 'Remove faults while the run still fails.'
)
flags.DEFINE_bool(
    'timed', True, 'Also run checks with time limits; not for busy machines.'
)
flags.DEFINE_multi_string(
    'known',
    [],
    'A seed and a check, as in "3: whole answer", whose violations are printed'
    ' and do not count as failures.',
)
flags.DEFINE_string('folder', 'build/soak', 'Where failed runs are kept.')

PLAN_FILE = 'plan.json'
RESULT_FILE = 'verdict.json'
# The store, the proxy and the servers.
OTHER_PROCESS_COUNT = 9
EXIT_FAILED = 1


def main(arguments: list[str]) -> int:
    """Run what the flags say; return 1 if there are violations."""
    if FLAGS.replay:
        return _replay(pathlib.Path(FLAGS.replay))
    began = time.monotonic()
    if FLAGS.seeds:
        seeds = [int(seed) for seed in FLAGS.seeds]
    else:
        first = time.time_ns() // 1_000_000 % 1_000_000
        seeds = list(range(first, first + FLAGS.count))
    results = []
    while seeds:
        results += _run_all(seeds)
        is_over = time.monotonic() - began >= FLAGS.minutes * 60
        seeds = [] if is_over else [seed + len(seeds) for seed in seeds]
    _print_summary(results)
    return EXIT_FAILED if any(map(_has_failed, results)) else 0


def _has_failed(result: runs.Result) -> bool:
    """Return whether a run has violations that are not known."""
    return any(
        f'{result.seed}: {violation.guarantee}' not in FLAGS.known
        for violation in result.violations
    )


def _run_all(seeds: list[int]) -> list[runs.Result]:
    """Run seeds, each in a process of its own.

    Checks keep a run's event loop busy; in a shared one they would delay the
    measurements of other runs.
    """
    networks = [sites.choose_network(number) for number in range(len(seeds))]
    with concurrent.futures.ProcessPoolExecutor(
        FLAGS.jobs, multiprocessing.get_context('fork')
    ) as executor:
        return list(executor.map(_run_seed, seeds, networks))


def _run_seed(seed: int, network: int) -> runs.Result:
    instances = max(2, FLAGS.processes - OTHER_PROCESS_COUNT)
    plan = plans.generate_plan(
        seed,
        instances,
        callers=6 * instances,
        faulty=FLAGS.faulty,
        calm=FLAGS.calm,
    )
    return asyncio.run(run_plan(plan, network))


async def run_plan(plan: plans.Plan, network: int) -> runs.Result:
    """Run a plan; keep its folder if there are violations."""
    folder = pathlib.Path(FLAGS.folder) / f'seed-{plan.seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    (folder / PLAN_FILE).write_bytes(msgspec.json.encode(plan))
    result = await runs.Run(plan, folder, network, FLAGS.timed).run()
    (folder / RESULT_FILE).write_bytes(msgspec.json.encode(result))
    _print_result(result)
    if not result.violations:
        shutil.rmtree(folder)
    return result


def _replay(folder: pathlib.Path) -> int:
    data = (folder / PLAN_FILE).read_bytes()
    plan = msgspec.json.decode(data, type=plans.Plan)
    result = asyncio.run(run_plan(plan, sites.choose_network(0)))
    if result.violations and FLAGS.minimise:
        _minimise(plan)
    return EXIT_FAILED if result.violations else 0


def _minimise(plan: plans.Plan) -> None:
    """Remove groups of faults while the run still fails."""
    for reduction in plans.list_reductions(plan):
        result = asyncio.run(run_plan(reduction, sites.choose_network(0)))
        if result.violations:
            print(f'still fails with {len(reduction.faults)} faults')
            _minimise(reduction)
            return
    kept = pathlib.Path(FLAGS.folder) / f'least-{plan.seed}.json'
    kept.write_bytes(msgspec.json.encode(plan))
    print(f'the fewest faults: {kept}')


def _print_result(result: runs.Result) -> None:
    outcome = 'held' if not result.violations else 'BROKEN'
    print(
        f'seed {result.seed}: {outcome}; {sum(result.faults.values())} faults,'
        f' {result.requests} requests, {result.served} served',
        flush=True,
    )
    for violation in result.violations[:10]:
        print(
            f'  {violation.guarantee}: {violation.subject}: {violation.detail}'
        )


def _print_summary(results: list[runs.Result]) -> None:
    """Print totals of all runs."""
    faults: dict[str, int] = {}
    checked: dict[str, int] = {}
    for result in results:
        for kind, count in result.faults.items():
            faults[kind] = faults.get(kind, 0) + count
        for kind, count in result.checked.items():
            before = checked.get(kind, 0)
            is_peak = kind == load.MEMORY_PEAK
            checked[kind] = max(before, count) if is_peak else before + count
    print(
        'faults: ' + ', '.join(f'{k} {n}' for k, n in sorted(faults.items()))
    )
    print('looked at: ' + ', '.join(f'{k} {n}' for k, n in checked.items()))
    failed = sum(map(_has_failed, results))
    print(f'{len(results) - failed} passed, {failed} failed')


if __name__ == '__main__':
    if sys.argv[1:2] == ['links']:
        asyncio.run(links.run())
    elif sys.argv[1:2] in (['store'], ['target']):
        servers.run(sys.argv[1:])
    else:
        app.run(main)
