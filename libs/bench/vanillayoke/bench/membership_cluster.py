"""A cluster of members over a network in memory, in virtual time."""

import asyncio
import random
import typing

from vanillayoke.cluster import messages
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.fakes import peers_memory
from vanillayoke.fakes import platform_memory
from vanillayoke.node import members
from vanillayoke.platform import ports
from vanillayoke.settings import process

REGION = 'sk-west'
ZONES = ('ba-petrzalka', 'ba-ruzinov', 'tt-hall')
_INSTANCES_PER_NET = 250
_CONVERGENCE_STEP = 0.1


class PausableTimers(timers.LoopTimers):
    """The timers of one process that can be paused.

    A paused process sees its clock jump when it goes on; one on a machine
    that was suspended with it does not.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._paused_at: float | None = None
        self._behind = 0.0
        self._due: list[typing.Callable[[], None]] = []

    def now(self) -> float:
        return super().now() - self._behind

    def pause(self) -> None:
        """Hold all timers back."""
        self._paused_at = super().now()

    def resume(self, suspended: bool = False) -> None:
        """Go on; ``suspended`` leaves the clock where it was."""
        if suspended:
            self._behind += super().now() - self._paused_at
        self._paused_at = None
        due, self._due = self._due, []
        for callback in due:
            callback()

    def call_after(
        self, delay: float, callback: typing.Callable[[], None]
    ) -> timers.Subscription:
        def fire() -> None:
            if self._paused_at is None:
                callback()
            else:
                self._due.append(callback)

        return super().call_after(delay, fire)


class Node(typing.NamedTuple):
    """One member with its end of the network and its timers."""

    name: str
    members: members.Members
    transport: peers_memory.MemoryTransport
    address: str
    timers: PausableTimers

    def pause(self) -> None:
        """Stop the process; messages to it wait in its sockets."""
        self.timers.pause()
        self.transport.paused = True

    def resume(self, suspended: bool = False) -> None:
        """Let the process go on, with the timers that are due first.

        A machine that was suspended did not receive anything meanwhile.
        """
        if suspended:
            self.transport.drop_waiting()
        self.timers.resume(suspended)
        self.transport.resume()


class Cluster:
    """Members that see each other through a memory network."""

    def __init__(
        self, seed: int, probe: process.ProbeSettings | None = None
    ) -> None:
        self.timers = timers.LoopTimers(asyncio.get_running_loop())
        self.network = peers_memory.MemoryNetwork(
            self.timers, random.Random(seed)
        )
        self.platform = platform_memory.MemoryPlatform(
            self.timers, random.Random(seed + 1)
        )
        self.nodes: list[Node] = []
        self._seed = seed
        self._probe = probe or process.ProbeSettings()

    async def start(self, count: int, region: str = REGION) -> list[Node]:
        """Start members of a region together."""
        added = [self._make_node(region) for _ in range(count)]
        self.nodes += added
        for node in added:
            await node.members.start()
        return added

    def _make_node(self, region: str) -> Node:
        number = len(self.network.sent_messages)
        host = f'10.0.{number // _INSTANCES_PER_NET}'
        host = f'{host}.{number % _INSTANCES_PER_NET + 1}'
        settings = process.InstanceSettings(
            name=f'entry-{number:03}',
            zone=ZONES[number % len(ZONES)],
            region=region,
            entry_address=f'{host}:8080',
            peer_address=f'{host}:7000',
        )
        return self.add(settings)

    def add(self, settings: process.InstanceSettings) -> Node:
        """Make a member of an instance without starting it."""
        address = settings.peer_address
        self.platform.instances.register(
            ports.ListedInstance(
                settings.name,
                address,
                settings.entry_address,
                settings.zone,
                settings.region,
                leaving=False,
            )
        )
        transport = self.network.open(address, settings.region)
        service = PausableTimers(asyncio.get_running_loop())
        member = members.Members.from_config(
            settings,
            self._probe,
            transport,
            self.platform.instances,
            service,
            random.Random(f'{self._seed}-{settings.name}'),
            logs.Logger.from_config(settings.name, service),
            metrics.Metrics(),
        )
        return Node(settings.name, member, transport, address, service)

    async def fail(self, node: Node) -> None:
        """End a member without a word to the others."""
        self.network.close(node.address)
        self.nodes.remove(node)
        await node.members.stop()

    def list_views(
        self, of: str, seen_by: typing.Iterable[Node] | None = None
    ) -> list[messages.State | None]:
        """Return what the others hold a member for; ``None`` is unknown."""
        viewers = self.nodes if seen_by is None else seen_by
        return [find_state(node, of) for node in viewers if node.name != of]

    def sees_all_alive(self) -> bool:
        """Tell whether all members hold all of them alive."""
        names = {node.name for node in self.nodes}
        return all(names <= list_alive(node) for node in self.nodes)

    async def wait_until(
        self, condition: typing.Callable[[], bool], longest: float
    ) -> float | None:
        """Return after how many seconds a condition held."""
        begin = self.timers.now()
        while not condition():
            if self.timers.now() - begin > longest:
                return None
            await self.timers.sleep(_CONVERGENCE_STEP)
        return self.timers.now() - begin

    async def stop(self) -> None:
        """Stop all members."""
        for node in self.nodes:
            await node.members.stop()


def find_state(node: Node, of: str) -> messages.State | None:
    """Return what a member holds another one for."""
    for member in node.members.members():
        if member.instance == of:
            return member.state
    return None


def list_alive(node: Node) -> set[str]:
    """Return the names of those that a member holds for alive."""
    return {
        member.instance
        for member in node.members.members()
        if member.state is messages.State.ALIVE
    }
