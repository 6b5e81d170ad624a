"""A demo of a program that survives the loss of instances.

A store, model servers, tools and three instances run as processes on
loopback. The program calls tools, places an order that must not be repeated
and runs sub-agents. Its coordinator is killed during a streamed response,
then the instance that forwards a streamed response. The exit status is 0 if
all guarantees held.
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
CONVERSATION = callers_module.Conversation(
    PROGRAM,
    f'{PROGRAM}.0',
    'chat',
    1000,
    organisations.Keys().get_key(ORGANISATION),
)
# Long enough to kill an instance between two events.
EVENT_INTERVAL_SECONDS = 0.2
PEERS_PORT = 7380
# The loss of an instance is detected within two seconds.
DETECTION_SECONDS = 2.5
STARTUP_TIMEOUT_SECONDS = 60.0


class Guarantee(typing.NamedTuple):
    """A guarantee and whether it held."""

    text: str
    held: bool


class Demo:
    """The processes, the program and the history of the demo."""

    def __init__(self, folder: pathlib.Path) -> None:
        network = sites.choose_network(0)
        self.site = sites.Site(folder, network, instances=3)
        self.history = histories.History(records.Bounds())
        self._folder = folder
        self._callers = callers_module.Callers(
            self.site.list_directories,
            self.site.find_caller_link,
            lambda: self.site.version,
            self.site.keys.get_key,
            self.history.add,
            random.Random(1),
            abandon_ratio=0.0,
        )
        self._caller = callers_module.Caller(self._callers)
        # Turns whose instance was killed during the response.
        self._expected_interruptions = 0

    async def run(self) -> list[Guarantee]:
        """Run the program and return the guarantees."""
        await self.site.start()
        await self.site.wait_until_ready(STARTUP_TIMEOUT_SECONDS)
        first = await self._turn('')
        await self._use_tools()
        await self._run_sub_agents(first)
        self._slow_down()
        coordinator = self._find_coordinator()
        second = await self._turn_while_killing(first, lambda: coordinator)
        # Let the other instances detect the loss of the coordinator.
        await asyncio.sleep(DETECTION_SECONDS)
        third = await self._turn_while_killing(
            second, self._find_serving_instance
        )
        await self._restart()
        await self._turn(third)
        await self._exhaust_budget()
        for host in self.site.instances:
            self.site.request_stop(host)
        await asyncio.gather(
            *(child.wait() for child in self.site.instances.values())
        )
        await asyncio.sleep(0.5)
        self._collect_records()
        return self._evaluate()

    async def _turn(self, previous: str) -> str:
        done = await self._callers.run_turn(
            self._caller, CONVERSATION, previous
        )
        if done is None:
            raise RuntimeError('the turn did not complete')
        return done

    async def _use_tools(self) -> None:
        for route, kind in (('look', 'safe'), ('order', 'unsafe')):
            await self._callers.call(self._caller, route, kind, CONVERSATION)

    async def _run_sub_agents(self, previous: str) -> None:
        """Continue from a turn in two concurrent sub-agents."""
        conversations = (
            CONVERSATION._replace(session=f'{PROGRAM}.{n}') for n in (1, 2)
        )
        await asyncio.gather(
            *(
                self._callers.run_turn(
                    callers_module.Caller(self._callers),
                    conversation,
                    previous,
                )
                for conversation in conversations
            )
        )

    def _slow_down(self) -> None:
        for server in self.site.servers:
            server.child.send_command(control.Pace(EVENT_INTERVAL_SECONDS))

    def _find_coordinator(self) -> str:
        """Return the address of the program's coordinator."""
        members = [
            rendezvous.Peer(child.name, host)
            for host, child in self.site.instances.items()
        ]
        program = scopes.qualify(ORGANISATION, PROGRAM)
        return rendezvous.find_coordinator(program, members).address

    def _find_serving_instance(self) -> str:
        """Return the instance that received the latest request."""
        return list(self.history.sent.values())[-1].instance

    async def _turn_while_killing(
        self, previous: str, choose: typing.Callable[[], str]
    ) -> str:
        turn = asyncio.ensure_future(self._turn(previous))
        await self._wait_until_running()
        await asyncio.sleep(1.5 * EVENT_INTERVAL_SECONDS)
        host = choose()
        name = self.site.instances[host].name
        self._expected_interruptions += host == self._find_serving_instance()
        # Grants of a killed instance are lost and count as used.
        now = control.read_now()
        self.history.add(records.Disturbed(now, now, 'kill', name))
        print(f'Killed {name} half-way.', flush=True)
        self.site.instances[host].signal(signal.SIGKILL)
        return await turn

    async def _wait_until_running(self) -> None:
        """Wait until a server runs the latest request.

        Its first attempt may go to an instance that was killed before.
        """
        while True:
            await asyncio.sleep(0.02)
            self._collect_records()
            latest = list(self.history.sent.values())[-1].request
            if (
                latest in self.history.started
                and latest not in self.history.answered
            ):
                return

    def _collect_records(self) -> None:
        for record in self.site.collect_records():
            self.history.add(record)

    async def _restart(self) -> None:
        for host, child in list(self.site.instances.items()):
            if not child.is_running:
                await self.site.start_instance(host)
        await self.site.wait_until_ready(STARTUP_TIMEOUT_SECONDS)

    async def _exhaust_budget(self) -> None:
        """Run turns until the budget is exhausted.

        Each turn starts a new chain, so that chains stay short.
        """
        for server in self.site.servers:
            server.child.send_command(control.Pace(0.001))
        while await self._callers.run_turn(self._caller, CONVERSATION, ''):
            continue

    def _evaluate(self) -> list[Guarantee]:
        violated = checks.check_all(self.history, control.read_now())
        for violation in violated:
            print(
                f'{violation.guarantee}: {violation.subject}:'
                f' {violation.detail}'
            )
        names = {violation.guarantee for violation in violated}
        interrupted = sum(
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
            Guarantee(
                'only turns whose own instance was lost broke off',
                interrupted == self._expected_interruptions > 0,
            ),
            Guarantee(
                'the order ran once', [len(one) for one in orders] == [1]
            ),
            Guarantee(
                'each answer was whole and to its own request',
                not names & answers,
            ),
            Guarantee(
                'the history is whole, byte for byte',
                not names & {'history', 'history kept'},
            ),
            Guarantee('the budget held and stopped the program', is_spent),
            Guarantee(
                'each planned stop was graceful',
                not names & {'graceful stop', 'no crash'},
            ),
            Guarantee('no other promise was broken', not names),
        ]

    def print_log(self) -> None:
        """Print the program's log lines of all instances."""
        log_lines = []
        for path in sorted(self._folder.glob('i*.log')):
            log_lines += request_logs.parse_lines(
                path.read_text().splitlines()
            )
        for text in request_logs.format_lines(
            request_logs.select_lines(log_lines, PROGRAM)
        )[:MAX_LOG_LINES]:
            print(text)


# Later lines are those of turns that exhaust the budget.
MAX_LOG_LINES = 24


async def run_demo(folder: pathlib.Path) -> list[Guarantee]:
    """Run the demo in a folder and print its log lines."""
    demo = Demo(folder)
    try:
        guarantees = await demo.run()
    finally:
        await demo.site.stop()
    demo.print_log()
    return guarantees


def main() -> int:
    """Run the demo and print which guarantees held."""
    with tempfile.TemporaryDirectory() as name:
        guarantees = asyncio.run(run_demo(pathlib.Path(name)))
    for guarantee in guarantees:
        print(f'{"held  " if guarantee.held else "BROKEN"}  {guarantee.text}')
    return 0 if all(guarantee.held for guarantee in guarantees) else 1


if __name__ == '__main__':
    sys.exit(main())
