"""What an instance adds to a streamed answer, against the engine alone.

Run as ``python -m vanillayoke.bench.gateway``; stand-ins and one instance
are started as processes on loopback, and this process is the load. Prints
JSON lines; the exit status is 0 only if every bound held.
"""

import asyncio
import contextlib
import hashlib
import json
import pathlib
import random
import sys
import tempfile
import time
import typing

from absl import app
from absl import flags
import aiohttp

from vanillayoke.bench import gateway_figures
from vanillayoke.bench import gateway_load
from vanillayoke.harness import processes
from vanillayoke.harness import site

INSTANCE = 'instance-1'
ENGINE_SLOTS = 256
ENGINE_CACHE = 100_000_000

_READY_TIMEOUT = 20.0
_POLL = 0.05
_IDLE_TOKENS = 8
_WARM_UP_CALLS = 4

_SECONDS = flags.DEFINE_float('seconds', 6.0, 'Length of a round of load.')
_RATE = flags.DEFINE_float('calls_per_second', 22.0, 'Calls of the load.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of arrivals and texts.')
_TOKENS = flags.DEFINE_integer('tokens', 409, 'Tokens of an answer.')
_STEP = flags.DEFINE_float('step', 0.002, 'Seconds between two tokens.')
_ENGINES = flags.DEFINE_integer('engines', 4, 'Stand-in engines.')
_PAIRS = flags.DEFINE_integer('pairs', 150, 'Calls each way without load.')
_ROUNDS = flags.DEFINE_integer('rounds', 2, 'Rounds of load each way.')
_CHECK = flags.DEFINE_boolean('check', True, 'Fail where a bound is broken.')


class Deployment:
    """The processes of one run."""

    def __init__(self, deployment: site.Site, stack: contextlib.ExitStack):
        self._site = deployment
        self._stack = stack
        self.engines: list[processes.ManagedProcess] = []
        deployment.start_platform()
        for number in range(_ENGINES.value):
            self._start_engine(f'engine-{number + 1}')
        self.instance = deployment.start_instance(INSTANCE, site.ZONES[0])
        self._wait_ready()
        deployment.apply(self._write_configuration())

    @property
    def addresses(self) -> list[str]:
        """Return the engines' addresses."""
        return list(self._site.engines.values())

    def read_engine_cpu(self) -> float:
        """Return the processor seconds of the busiest engine so far."""
        return max(one.read_cpu() for one in self.engines)

    def _start_engine(self, name: str) -> None:
        arguments = [
            '-m',
            'vanillayoke.bench.gateway_engine',
            f'--name={name}',
            f'--slots={ENGINE_SLOTS}',
            f'--step={_STEP.value}',
        ]
        process = processes.ManagedProcess(name, arguments, self._site.folder)
        self._stack.callback(process.kill)
        self.engines.append(process)
        self._site.engines[name] = process.read_address()

    def _write_configuration(self) -> pathlib.Path:
        targets = {
            name: {
                'kind': 'engine',
                'address': address,
                'zone': site.ZONES[0],
                'region': site.REGION,
                'slots': ENGINE_SLOTS,
                'cache_tokens': ENGINE_CACHE,
            }
            for name, address in self._site.engines.items()
        }
        digest = hashlib.sha256(gateway_load.CLIENT_KEY.encode()).hexdigest()
        described = {
            'targets': targets,
            'models': {'base': {}},
            'agents': {gateway_load.AGENT: {'model': 'base'}},
            'clients': {'bench': {'key_hashes': [digest]}},
        }
        folder = self._site.folder / 'configuration'
        folder.mkdir()
        (folder / '10-bench.json').write_text(json.dumps(described))
        return folder

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + _READY_TIMEOUT
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                self._site.get(self.instance.address, '/readyz')
                return
            time.sleep(_POLL)
        output = self.instance.process.output.read_text()
        raise RuntimeError(f'the instance did not become ready: {output}')


class GatewayBench:
    """Asks the engines directly and through the instance, by turns."""

    def __init__(
        self,
        deployment: Deployment,
        client: gateway_load.LoadClient,
        source: random.Random,
    ) -> None:
        self._deployment = deployment
        self._client = client
        self._source = source

    async def measure_idle(self) -> gateway_figures.Comparison:
        """Measure the first token of single calls, one after the other."""
        count = _PAIRS.value + _WARM_UP_CALLS
        programs = await self._client.open_programs(count)
        direct, through = [], []
        for number, program in enumerate(programs):
            job = self._make_job(0.0, program, number, _IDLE_TOKENS)
            direct.append(await self._client.ask_directly(job))
            through.append(await self._client.ask_through(job))
        await self._client.end_programs(programs)
        return gateway_figures.Comparison(
            direct[_WARM_UP_CALLS:], through[_WARM_UP_CALLS:]
        )

    async def measure_load(self) -> gateway_figures.LoadRound:
        """Send the same calls both ways, one way after the other."""
        arrivals = gateway_load.plan_arrivals(
            self._source, _SECONDS.value, _RATE.value
        )
        programs = await self._client.open_programs(len(arrivals))
        jobs = [
            self._make_job(moment, programs[number], number, _TOKENS.value)
            for number, moment in enumerate(arrivals)
        ]
        direct = await gateway_load.run_jobs(self._client.ask_directly, jobs)
        before = self._read_cpu()
        through = await gateway_load.run_jobs(self._client.ask_through, jobs)
        after = self._read_cpu()
        await self._client.end_programs(programs)
        return gateway_figures.LoadRound(
            gateway_figures.Comparison(direct, through),
            len(jobs) * _TOKENS.value,
            gateway_figures.CpuTimes(
                *(b - a for a, b in zip(before, after, strict=True))
            ),
        )

    def _make_job(
        self, moment: float, program: str, number: int, tokens: int
    ) -> gateway_load.Job:
        addresses = self._deployment.addresses
        text = gateway_load.write_text(self._source, tokens)
        return gateway_load.Job(
            moment, text, program, addresses[number % len(addresses)]
        )

    def _read_cpu(self) -> gateway_figures.CpuTimes:
        return gateway_figures.CpuTimes(
            self._deployment.instance.process.read_cpu(),
            self._deployment.read_engine_cpu(),
            time.process_time(),
        )


async def measure(
    deployment: Deployment,
) -> typing.Iterator[gateway_figures.Figure]:
    """Measure and return the figures."""
    instance = deployment.instance
    empty = instance.process.read_memory()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        client = gateway_load.LoadClient(session, instance.address, 'base')
        source = random.Random(_SEED.value)
        bench = GatewayBench(deployment, client, source)
        idle = await bench.measure_idle()
        rounds = [await bench.measure_load() for _ in range(_ROUNDS.value)]
    memory = gateway_figures.Memory(empty, instance.process.read_memory())
    return gateway_figures.make_figures(idle, rounds, memory)


def main(arguments: list[str]) -> None:
    """Run the bench and print its figures."""
    del arguments
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        deployment = Deployment(stack.enter_context(site.Site(folder)), stack)
        figures = list(asyncio.run(measure(deployment)))
    for figure in figures:
        print(json.dumps(figure._asdict()), flush=True)
    if _CHECK.value and not all(figure.ok for figure in figures):
        sys.exit(1)


if __name__ == '__main__':
    app.run(main)
