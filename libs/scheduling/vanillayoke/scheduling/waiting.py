"""Queues of calls that wait for admission, with fair sharing by client."""

import collections

from vanillayoke.scheduling import calls


class ClientShares:
    """Weighted fair queueing: the virtual time of each client.

    A client that was idle starts at the minimum virtual time of the waiting
    clients, so that it cannot accumulate credit and starve the others.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._times: dict[str, float] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the clients' weights; the default weight is 1."""
        self._weights = dict(weights)
        for client in [c for c in self._times if c not in weights]:
            if weights:
                del self._times[client]

    def charge(self, client: str, seconds: float) -> None:
        """Charge a client for seconds of engine time."""
        weight = max(self._weights.get(client, 1.0), 1e-6)
        self._times[client] = self.get_virtual_time(client) + seconds / weight

    def get_virtual_time(self, client: str) -> float:
        """Return a client's virtual time."""
        return self._times.get(client, 0.0)

    def raise_virtual_time(self, client: str, minimum: float) -> None:
        """Raise a client's virtual time to a minimum."""
        self._times[client] = max(self.get_virtual_time(client), minimum)


class WaitingCalls:
    """Calls of new programs for one version of a model."""

    def __init__(self, shares: ClientShares) -> None:
        self._shares = shares
        self._urgent: dict[str, calls.CallDemand] = {}
        self._clients: dict[
            str, collections.OrderedDict[str, calls.CallDemand]
        ] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count + len(self._urgent)

    def add(self, demand: calls.CallDemand) -> None:
        """Queue a call behind the others of its client."""
        if demand.urgent:
            self._urgent[demand.call] = demand
            return
        queue = self._clients.get(demand.client)
        if queue is None:
            if self._clients:
                minimum = min(
                    map(self._shares.get_virtual_time, self._clients)
                )
                self._shares.raise_virtual_time(demand.client, minimum)
            queue = self._clients[demand.client] = collections.OrderedDict()
        self._count += demand.call not in queue
        queue[demand.call] = demand

    def remove(self, demand: calls.CallDemand) -> None:
        """Remove a call from its queue."""
        if self._urgent.pop(demand.call, None) is not None:
            return
        queue = self._clients.get(demand.client)
        if queue is None or queue.pop(demand.call, None) is None:
            return
        self._count -= 1
        if not queue:
            del self._clients[demand.client]

    def peek(self, urgent: bool) -> calls.CallDemand | None:
        """Return the next urgent or the next other call, if any."""
        if urgent:
            return next(iter(self._urgent.values()), None)
        if not self._clients:
            return None
        client = min(self._clients, key=self._shares.get_virtual_time)
        return next(iter(self._clients[client].values()))

    def list_infeasible(
        self, interval: float, now: float
    ) -> list[calls.CallDemand]:
        """Return the calls that are not expected to start in time.

        ``interval`` is the time between two admissions in seconds. The
        returned calls do not count as ahead of later ones.
        """
        infeasible = []
        for queue in self._clients.values():
            ahead = 0
            for demand in queue.values():
                wait = ahead * len(self._clients) * interval
                if now + wait > demand.deadline:
                    infeasible.append(demand)
                else:
                    ahead += 1
        return infeasible

    def count_ahead(self, demand: calls.CallDemand) -> int:
        """Return the approximate number of calls ahead of a new one."""
        if demand.urgent:
            return len(self._urgent)
        return len(self)
