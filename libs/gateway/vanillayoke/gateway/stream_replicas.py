"""The instances that hold what is recorded of streams.

Records are kept in memory. They are replicated to two instances, which are in
different zones if possible and follow from a key of the stream.
"""

import asyncio
import typing

from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous

REPLICA_COUNT = 2
# One more than there are replicas, as one of the instances may be new.
QUERY_COUNT = REPLICA_COUNT + 1
# The caller waits for the response; a peer that is busy or gone is not worth
# a large part of the time that the stream has left.
QUERY_TIMEOUTS_SECONDS = (0.02, 0.05)


class StreamReplicas:
    """Sends records of streams to their replicas, and queries these."""

    def __init__(
        self, instance: str, membership: rendezvous.MembershipView
    ) -> None:
        self._instance = instance
        self._membership = membership
        self._peers: peers_module.Peers | None = None
        self._zones = rendezvous.ZoneRanking()

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def list_recipients(self, key: str) -> list[rendezvous.Peer]:
        """Return the instances that get replicas, except this one."""
        return self._list_others(key, REPLICA_COUNT)

    def notify(
        self,
        recipients: typing.Iterable[rendezvous.Peer],
        notification: peer_messages.Notification,
    ) -> None:
        """Send a notification to other instances."""
        for peer in recipients:
            self._peers.notify(peer.address, notification)

    async def query(
        self, key: str, query: peer_messages.Request, deadline: float
    ) -> typing.AsyncIterator[tuple[str, peer_messages.Response | None]]:
        """Yield responses as they arrive, and their instances.

        Copies of the query are sent until ``deadline`` at most, as
        ``peers.Peers.send_request`` has it.
        """
        tasks = [
            asyncio.ensure_future(self._send(peer, query, deadline))
            for peer in self._list_holders(key)
        ]
        try:
            for task in asyncio.as_completed(tasks):
                yield await task
        finally:
            for task in tasks:
                task.cancel()

    async def _send(
        self,
        peer: rendezvous.Peer,
        query: peer_messages.Request,
        deadline: float,
    ) -> tuple[str, peer_messages.Response | None]:
        response = await self._peers.send_request(
            peer.address, query, deadline, QUERY_TIMEOUTS_SECONDS
        )
        return peer.instance, response

    def list_replicas(self, key: str) -> set[str]:
        """Return the other instances that know the newest of a session.

        Lost ones count: while they are only cut off, a newer stream may have
        begun there.
        """
        highest = rendezvous.ZoneRanking().list_highest(
            key, self._list_known(), REPLICA_COUNT
        )
        return {peer.instance for peer in highest} - {self._instance}

    def is_replica(self, key: str) -> bool:
        """Return whether this instance is to know the newest of a session."""
        highest = rendezvous.ZoneRanking().list_highest(
            key, self._list_known(), REPLICA_COUNT
        )
        return any(peer.instance == self._instance for peer in highest)

    def _list_holders(self, key: str) -> list[rendezvous.Peer]:
        """Return the other instances that may have the record of a stream.

        An instance that stood still takes others for lost when it wakes up.
        """
        known = rendezvous.ZoneRanking().list_highest(
            key, self._list_known(), QUERY_COUNT
        )
        holders = {
            peer.instance: peer
            for peer in (*self._list_others(key, QUERY_COUNT), *known)
        }
        holders.pop(self._instance, None)
        return list(holders.values())

    def _list_known(self) -> list[rendezvous.Peer]:
        """Return all instances, lost ones and those that leave too."""
        known = (
            *self._membership.list_eligible(),
            *self._membership.list_reachable(),
            *self._membership.list_lost(),
        )
        return list({peer.instance: peer for peer in known}.values())

    def _list_others(self, key: str, count: int) -> list[rendezvous.Peer]:
        """Return the highest eligible instances, except this one."""
        highest = self._zones.list_highest(
            key, self._membership.list_eligible(), count
        )
        return [peer for peer in highest if peer.instance != self._instance]
