"""The demo: a program survives the death of the instance that owns it.

Three instances, two engines and two services run as processes on loopback.
A client's program checks stock, places an order that must not be repeated
and hands work to a sub-agent; the owner is killed half-way. Exit status 0
only if every promise held.
"""

import pathlib
import sys
import tempfile
import time
import typing

from vanillayoke.harness import caller
from vanillayoke.harness import site

CLIENT_KEY = 'demo-client-key'
_PATIENCE = 60.0
_DEADLINE = 120.0
_READY_TIMEOUT = 20.0
_RELEASE_TIMEOUT = 10.0
_POLL = 0.1
_FIRST_TEXT = (
    'Which oak is in stock? [[tool:stock {"sku":"oak-14"}]]'
    ' Order the sample. [[tool:order {"sku":"oak-14"}]]'
    ' Ask the researcher. [[child:researcher Look at tiles.'
    ' [[tool:stock {"sku":"tile-9"}]] [[say:30]]]] [[say:600]]'
)
_SECOND_TEXT = 'And the river blue? [[tool:stock {"sku":"blue-2"}]] [[say:20]]'


class Promise(typing.NamedTuple):
    """One promise and whether it held."""

    text: str
    held: bool


def run_demo(folder: pathlib.Path) -> list[Promise]:
    """Run the deployment and the program; return the promises."""
    with site.Site(folder) as deployment:
        _start(deployment)
        addresses = [one.address for one in deployment.instances.values()]
        client = caller.Caller(addresses, CLIENT_KEY, _PATIENCE)
        opened = client.ask(
            'POST',
            '/v1/programs',
            'open-1',
            {'agent': 'board', 'deadline': _DEADLINE},
        )
        program = opened['program']
        first = _run_and_kill(deployment, client, opened)
        second = client.run(program, 'turn-2', _SECOND_TEXT)
        history = client.ask(
            'GET', f'/v1/programs/{program}/history?limit=1000'
        )['history']
        view = client.ask('POST', f'/v1/programs/{program}/end', 'end')
        promises = _check_program(deployment, first, second, history, view)
        promises.append(_check_caches(deployment))
        print(_read_timeline(deployment, program))
        promises.append(_stop(deployment))
    return promises


def _start(deployment: site.Site) -> None:
    deployment.start_platform()
    deployment.start_engine('engine-1')
    deployment.start_engine('engine-2')
    deployment.start_service('supplier-1', 'supplier')
    deployment.start_service('orders-1', 'orders')
    for number, zone in enumerate(site.ZONES, 1):
        deployment.start_instance(f'instance-{number}', zone)
    _wait_until(lambda: _count_ready(deployment) == len(site.ZONES))
    deployment.apply(deployment.write_configuration(CLIENT_KEY))


def _count_ready(deployment: site.Site) -> int:
    ready = 0
    for one in deployment.instances.values():
        try:
            deployment.get(one.address, '/readyz')
            ready += 1
        except OSError:
            continue
    return ready


def _run_and_kill(
    deployment: site.Site,
    client: caller.Caller,
    opened: dict[str, typing.Any],
) -> caller.Answer:
    """Run the first turn; kill the owner while the answer streams."""
    killed: list[str] = []

    def kill_owner(text: str) -> None:
        if text and not killed:
            killed.append(opened['instance'])
            deployment.kill_instance(opened['instance'])
            print(f'Killed {opened["instance"]} half-way.', flush=True)

    return client.run(opened['program'], 'turn-1', _FIRST_TEXT, kill_owner)


def _check_program(
    deployment: site.Site,
    first: caller.Answer,
    second: caller.Answer,
    history: list[dict[str, typing.Any]],
    view: dict[str, typing.Any],
) -> list[Promise]:
    executions = deployment.get(deployment.services['orders-1'], '/executions')
    answers = [
        entry['content']
        for entry in history
        if entry.get('role') == 'assistant' and entry.get('content')
    ]
    numbers = [entry['number'] for entry in history]
    spent, budget = view['spent'], view['budget']
    return [
        Promise('the instance was lost while it answered', first.resumed > 0),
        Promise(
            'the caller got the whole answer to its own request',
            first.text == first.final['text'],
        ),
        Promise('the order ran once', list(executions.values()) == [1]),
        Promise(
            'the history holds both answers, byte for byte',
            answers == [first.text, second.text],
        ),
        Promise(
            "the program's calls are in order", numbers == sorted(numbers)
        ),
        Promise(
            'the budget held',
            all(spent[name] <= budget[name] for name in budget),
        ),
    ]


def _check_caches(deployment: site.Site) -> Promise:
    """Check that engines hold nothing of the ended programs."""

    def is_free() -> bool:
        return not any(
            _read_sessions(deployment, address)
            for address in deployment.engines.values()
        )

    return Promise(
        'no engine holds memory of the ended program',
        _wait_until(is_free, _RELEASE_TIMEOUT),
    )


def _read_sessions(deployment: site.Site, address: str) -> dict[str, int]:
    state = deployment.post(address, '/v1/control/read_state', {})
    return site.decode(state)['sessions']


def _read_timeline(deployment: site.Site, program: str) -> str:
    return deployment.ask_operator('timeline', f'--program={program}')


def _stop(deployment: site.Site) -> Promise:
    statuses = [
        deployment.stop_instance(name) for name in list(deployment.instances)
    ]
    return Promise(
        'each planned stop was graceful', all(one == 0 for one in statuses)
    )


def _wait_until(
    condition: typing.Callable[[], bool], timeout: float = _READY_TIMEOUT
) -> bool:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(_POLL)
    return False


def main() -> int:
    """Run the demo and say which promises held."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        promises = run_demo(pathlib.Path(name))
    for promise in promises:
        print(f'{"held  " if promise.held else "BROKEN"}  {promise.text}')
    print(f'{time.monotonic() - began:.1f} s')
    return 0 if all(promise.held for promise in promises) else 1


if __name__ == '__main__':
    sys.exit(main())
