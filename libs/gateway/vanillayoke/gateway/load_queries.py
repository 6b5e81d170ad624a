"""Asking the homes of targets how much work these have just now.

A target's home is an instance of its own zone, where there is one: most
requests stay in their zone, and so do the datagrams about them.
"""

import asyncio
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy

# How long to wait for the homes' answers. A round trip between zones takes
# two milliseconds; what does not come by then is taken from this instance's
# own view, which costs less than waiting on. Seconds.
PATIENCE = 0.008


class LoadQueries:
    """Tells homes what goes to their targets, and asks them for counts."""

    def __init__(
        self,
        instance: str,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._tallies = load_counts.LoadCounts()
        self._peers: peers_module.Peers | None = None
        self._members: typing.Sequence[rendezvous.Peer] = ()
        self._homes: dict[str, str | None] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Ask other instances through this from now on."""
        self._peers = peers

    async def query(
        self, places: typing.Iterable[occupancy.Candidate]
    ) -> dict[str, load_counts.Load]:
        """Return the loads of those targets whose homes answer in time."""
        found: dict[str, load_counts.Load] = {}
        asked = []
        for place in places:
            address = self._find_home(place.name, place.zone)
            if address is None:
                now = self._timers.now()
                found[place.name] = self._tallies.get_load(place.name, now)
            else:
                asked.append(self._ask(address, place.name, found))
        if asked:
            await asyncio.gather(*asked)
        return found

    async def _ask(
        self, address: str, target: str, found: dict[str, load_counts.Load]
    ) -> None:
        answer = await self._peers.send_request(
            address,
            peer_messages.LoadQuery(target),
            self._timers.now() + PATIENCE,
            (PATIENCE,),
        )
        if isinstance(answer, peer_messages.LoadResponse):
            found[target] = load_counts.Load(
                answer.requests, answer.latency_ratio
            )

    def record_start(
        self, target: messages.Target, request: str, longest: float
    ) -> None:
        """Note that a request goes to a target, for so long at the most."""
        self._tell(
            target, peer_messages.RequestStarted(target.name, request, longest)
        )

    def record_end(
        self,
        target: messages.Target,
        request: str,
        reported: int | None,
        pace: float | None,
    ) -> None:
        """Note that a request has ended; see ``LoadCounts.end``."""
        note = peer_messages.RequestEnded(target.name, request, reported, pace)
        self._tell(target, note)

    def handle(self, note: peer_messages.Notification) -> None:
        """Take what this or another instance tells of a target."""
        now = self._timers.now()
        match note:
            case peer_messages.RequestStarted(target, request, longest):
                self._tallies.begin(target, request, now + longest, now)
            case peer_messages.RequestEnded(target, request, reported, pace):
                self._tallies.end(target, request, reported, pace, now)

    def handle_request(
        self, request: peer_messages.LoadQuery
    ) -> peer_messages.LoadResponse:
        """Answer another instance."""
        load = self._tallies.get_load(request.target, self._timers.now())
        return peer_messages.LoadResponse(load.requests, load.latency_ratio)

    def retain(self, targets: typing.Container[str]) -> None:
        """Forget the targets that are no more."""
        self._tallies.retain(targets)
        self._homes.clear()

    def handle_restart(self, target: str) -> None:
        """Forget the work of a target that has started again."""
        self._tallies.reset(target)

    def _tell(
        self, target: messages.Target, note: peer_messages.Notification
    ) -> None:
        address = self._find_home(target.name, target.zone)
        if address is None:
            self.handle(note)
        else:
            self._peers.notify(address, note)

    def _find_home(self, target: str, zone: str) -> str | None:
        """Return the address of a target's home, ``None`` for this one."""
        members = self._list_eligible()
        if members is not self._members:
            self._members = members
            self._homes.clear()
        if target not in self._homes:
            self._homes[target] = self._rank_home(target, zone)
        return self._homes[target]

    def _rank_home(self, target: str, zone: str) -> str | None:
        near = [one for one in self._members if one.zone == zone]
        addresses = {
            one.instance: one.address for one in near or self._members
        }
        home = rendezvous.find_highest(target, addresses)
        return None if home in (None, self._instance) else addresses[home]
