"""The soak's command: plays seeds, replays and shortens those that fail."""

import asyncio
import pathlib
import shutil
import sys
import time

from absl import app
from absl import flags
import msgspec

from vanillayoke.soak import links
from vanillayoke.soak import plans
from vanillayoke.soak import runs
from vanillayoke.soak import servers
from vanillayoke.soak import sites

FLAGS = flags.FLAGS
flags.DEFINE_list('seeds', [], 'Seeds to play; drawn from the time if none.')
flags.DEFINE_integer('count', 1, 'Seeds to play where none are named.')
flags.DEFINE_float('minutes', 0.0, 'Play drawn seeds for so long.')
flags.DEFINE_integer('processes', 13, 'Processes of a run, about.')
flags.DEFINE_integer('jobs', 1, 'Runs beside one another.')
flags.DEFINE_float('faulty', 20.0, 'Seconds of a run with faults.')
flags.DEFINE_float('calm', 17.0, 'Seconds behind them, without.')
flags.DEFINE_string('replay', None, 'A folder of a run that failed.')
flags.DEFINE_bool('minimise', False, 'Drop faults while the failure stays.')
flags.DEFINE_bool(
    'timed', True, 'Also check what holds within times; not on busy machines.'
)
flags.DEFINE_string('folder', 'build/soak', 'Where runs that fail are kept.')

PLAN_FILE = 'plan.json'
VERDICT_FILE = 'verdict.json'
# Processes of a run beside its instances: store, links, servers.
OTHERS = 9
FAILED = 1


def main(arguments: list[str]) -> int:
    """Play what the flags say; return 1 if a promise was broken."""
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
        results += asyncio.run(_play_all(seeds))
        is_over = time.monotonic() - began >= FLAGS.minutes * 60
        seeds = [] if is_over else [seed + len(seeds) for seed in seeds]
    _report(results)
    return FAILED if any(one.violations for one in results) else 0


async def _play_all(seeds: list[int]) -> list[runs.Result]:
    places = asyncio.Semaphore(FLAGS.jobs)

    async def play(number: int, seed: int) -> runs.Result:
        async with places:
            instances = max(2, FLAGS.processes - OTHERS)
            plan = plans.generate_plan(
                seed,
                instances,
                callers=6 * instances,
                faulty=FLAGS.faulty,
                calm=FLAGS.calm,
            )
            return await play_plan(plan, number)

    return await asyncio.gather(
        *(play(number, seed) for number, seed in enumerate(seeds))
    )


async def play_plan(plan: plans.Plan, number: int = 0) -> runs.Result:
    """Play a plan; keep its folder if a promise was broken."""
    folder = pathlib.Path(FLAGS.folder) / f'seed-{plan.seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    (folder / PLAN_FILE).write_bytes(msgspec.json.encode(plan))
    network = sites.choose_network(number)
    result = await runs.Run(plan, folder, network, FLAGS.timed).play()
    (folder / VERDICT_FILE).write_bytes(msgspec.json.encode(result))
    _print_result(result)
    if not result.violations:
        shutil.rmtree(folder)
    return result


def _replay(folder: pathlib.Path) -> int:
    data = (folder / PLAN_FILE).read_bytes()
    plan = msgspec.json.decode(data, type=plans.Plan)
    result = asyncio.run(play_plan(plan))
    if result.violations and FLAGS.minimise:
        _minimise(plan)
    return FAILED if result.violations else 0


def _minimise(plan: plans.Plan) -> None:
    """Drop faults one group after another while the run still fails."""
    for reduction in plans.list_reductions(plan):
        result = asyncio.run(play_plan(reduction))
        if result.violations:
            print(f'still fails with {len(reduction.faults)} faults')
            _minimise(reduction)
            return
    kept = pathlib.Path(FLAGS.folder) / f'least-{plan.seed}.json'
    kept.write_bytes(msgspec.json.encode(plan))
    print(f'the fewest faults: {kept}')


def _print_result(result: runs.Result) -> None:
    verdict = 'held' if not result.violations else 'BROKEN'
    print(
        f'seed {result.seed}: {verdict}; {sum(result.faults.values())} faults,'
        f' {result.requests} requests, {result.served} served',
        flush=True,
    )
    for one in result.violations[:10]:
        print(f'  {one.promise}: {one.subject}: {one.detail}')


def _report(results: list[runs.Result]) -> None:
    """Print the sums over all runs."""
    faults: dict[str, int] = {}
    checked: dict[str, int] = {}
    for result in results:
        for kind, count in result.faults.items():
            faults[kind] = faults.get(kind, 0) + count
        for kind, count in result.checked.items():
            checked[kind] = checked.get(kind, 0) + count
    print(
        'faults: ' + ', '.join(f'{k} {n}' for k, n in sorted(faults.items()))
    )
    print('looked at: ' + ', '.join(f'{k} {n}' for k, n in checked.items()))
    failed = sum(bool(one.violations) for one in results)
    print(f'{len(results) - failed} passed, {failed} failed')


if __name__ == '__main__':
    if sys.argv[1:2] == ['links']:
        asyncio.run(links.run())
    elif sys.argv[1:2] in (['store'], ['target']):
        servers.run(sys.argv[1:])
    else:
        app.run(main)
