"""The demo: a program survives the death of the instances that serve it.

A store, model servers, tools and three instances run as processes on
loopback. A program checks stock, places an order that must not be repeated,
hands work to sub-agents and goes on; the instance that keeps its budget is
killed while an answer streams, and then the one that an answer streams
through. Exit status 0 only if every promise held.
"""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import typing

from vanillayoke.core import request_logs
from vanillayoke.gateway import rendezvous
from vanillayoke.programs import scopes
from vanillayoke.soak import callers as callers_module
from vanillayoke.soak import checks
from vanillayoke.soak import control
from vanillayoke.soak import histories
from vanillayoke.soak import organisations
from vanillayoke.soak import records
from vanillayoke.soak import sites

PROGRAM = 'board-1'
ORGANISATION = organisations.NAMES[0]
LINE = callers_module.Line(
    PROGRAM,
    f'{PROGRAM}.0',
    'chat',
    1000,
    organisations.Keys().get_key(ORGANISATION),
)
# Events come slowly enough to kill an instance between two of them. Seconds.
GAP = 0.2
PEERS_PORT = 7380
READY = 5.0


class Promise(typing.NamedTuple):
    """One promise and whether it held."""

    text: str
    held: bool


class Demo:
    """The site, the program and what was seen of both."""

    def __init__(self, folder: pathlib.Path) -> None:
        network = sites.choose_network(0)
        self.site = sites.Site(folder, network, instances=3)
        self.history = histories.History(records.Bounds())
        self._folder = folder
        self._callers = callers_module.Callers(
            self.site.list_directories,
            self.site.find_door,
            lambda: self.site.version,
            self.site.keys.get_key,
            self.history.add,
            random.Random(1),
            given_up=0.0,
        )
        self._caller = callers_module.Caller(self._callers)
        # Turns whose instance was killed while it answered.
        self._cut_off = 0

    async def run(self) -> list[Promise]:
        """Run the program; return the promises."""
        await self.site.start()
        await asyncio.sleep(READY)
        first = await self._turn('')
        await self._use_tools()
        await self._ask_helpers(first)
        self._slow_down()
        home = self._find_home()
        second = await self._turn_while_killing(first, lambda: home)
        # The others have seen by then that the home is gone.
        await asyncio.sleep(READY / 2)
        third = await self._turn_while_killing(second, self._find_server)
        await self._restart()
        await self._turn(third)
        await self._spend()
        for host in self.site.instances:
            self.site.tell_to_stop(host)
        await asyncio.gather(
            *(child.wait() for child in self.site.instances.values())
        )
        await asyncio.sleep(0.5)
        for record in self.site.collect():
            self.history.add(record)
        return self._judge()

    async def _turn(self, previous: str) -> str:
        done = await self._callers.run_turn(self._caller, LINE, previous)
        if done is None:
            raise RuntimeError('the program ended before its time')
        return done

    async def _use_tools(self) -> None:
        for route, kind in (('look', 'safe'), ('order', 'unsafe')):
            await self._callers.call(self._caller, route, kind, LINE)

    async def _ask_helpers(self, previous: str) -> None:
        """Let two sub-agents go on from a turn at the same time."""
        lines = (LINE._replace(session=f'{PROGRAM}.{n}') for n in (1, 2))
        await asyncio.gather(
            *(
                self._callers.run_turn(
                    callers_module.Caller(self._callers), line, previous
                )
                for line in lines
            )
        )

    def _slow_down(self) -> None:
        for server in self.site.servers:
            server.child.order(control.Pace(GAP))

    def _find_home(self) -> str:
        """Return the instance that keeps the program's budget."""
        members = [
            rendezvous.Peer(child.name, host)
            for host, child in self.site.instances.items()
        ]
        program = scopes.qualify(ORGANISATION, PROGRAM)
        return rendezvous.find_coordinator(program, members).address

    def _find_server(self) -> str:
        """Return the instance that the newest turn was sent to."""
        return list(self.history.sent.values())[-1].instance

    async def _turn_while_killing(
        self, previous: str, choose: typing.Callable[[], str]
    ) -> str:
        turn = asyncio.ensure_future(self._turn(previous))
        await asyncio.sleep(1.5 * GAP)
        host = choose()
        name = self.site.instances[host].name
        self._cut_off += host == self._find_server()
        # What an instance was granted dies with it, and counts as used.
        now = control.read_now()
        self.history.add(records.Disturbed(now, now, 'kill', name))
        print(f'Killed {name} half-way.', flush=True)
        self.site.instances[host].signal(signal.SIGKILL)
        return await turn

    async def _restart(self) -> None:
        for host, child in list(self.site.instances.items()):
            if not child.is_running:
                await self.site.start_instance(host)
        await asyncio.sleep(READY)

    async def _spend(self) -> None:
        """Go on without end, as some programs do, until the budget is spent.

        Their turns begin new chains, so that these stay short.
        """
        for server in self.site.servers:
            server.child.order(control.Pace(0.001))
        while await self._callers.run_turn(self._caller, LINE, ''):
            continue

    def _judge(self) -> list[Promise]:
        broken = checks.check_all(self.history, control.read_now())
        for one in broken:
            print(f'{one.promise}: {one.subject}: {one.detail}')
        names = {one.promise for one in broken}
        cut = sum(
            one.status == 200 and not one.is_whole
            for one in self.history.answered.values()
        )
        last = list(self.history.answered.values())[-1]
        orders = [
            runs
            for name, runs in self.history.started.items()
            if self.history.sent[name].kind == 'unsafe'
        ]
        answers = {'own answer', 'whole answer', 'order of a stream'}
        is_spent = last.status == 402 and 'budget' not in names
        return [
            Promise(
                'only turns whose own instance was lost broke off',
                cut == self._cut_off > 0,
            ),
            Promise('the order ran once', [len(one) for one in orders] == [1]),
            Promise(
                'each answer was whole and to its own request',
                not names & answers,
            ),
            Promise(
                'the history is whole, byte for byte',
                not names & {'history', 'history kept'},
            ),
            Promise('the budget held and stopped the program', is_spent),
            Promise(
                'each planned stop was graceful',
                not names & {'graceful stop', 'no crash'},
            ),
            Promise('no other promise was broken', not names),
        ]

    def print_story(self) -> None:
        """Print the program's story from the logs of all instances."""
        lines = []
        for path in sorted(self._folder.glob('i*.log')):
            lines += request_logs.parse_lines(path.read_text().splitlines())
        for text in request_logs.format_lines(
            request_logs.select_lines(lines, PROGRAM)
        )[:STORY_LINES]:
            print(text)


# The rest is the program that goes on without end.
STORY_LINES = 24


async def run_demo(folder: pathlib.Path) -> list[Promise]:
    """Run the demo in a folder and print its story."""
    demo = Demo(folder)
    try:
        promises = await demo.run()
    finally:
        await demo.site.stop()
    demo.print_story()
    return promises


def main() -> int:
    """Run the demo and say which promises held."""
    with tempfile.TemporaryDirectory() as name:
        promises = asyncio.run(run_demo(pathlib.Path(name)))
    for promise in promises:
        print(f'{"held  " if promise.held else "BROKEN"}  {promise.text}')
    return 0 if all(promise.held for promise in promises) else 1


if __name__ == '__main__':
    sys.exit(main())
