"""The calls that wait for admission, fairly over clients."""

import collections

from vanillayoke.scheduling import calls


class ClientShares:
    """Weighted service of each client, as virtual time.

    A client that was idle starts at the least virtual time of those that
    wait, so that it cannot save up a claim and then shut out the others.
    """

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._times: dict[str, float] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Take over the clients' weights; others weigh 1."""
        self._weights = dict(weights)
        for client in [c for c in self._times if c not in weights]:
            if weights:
                del self._times[client]

    def charge(self, client: str, seconds: float) -> None:
        """Charge a client for engine seconds."""
        weight = max(self._weights.get(client, 1.0), 1e-6)
        self._times[client] = self.read(client) + seconds / weight

    def read(self, client: str) -> float:
        """Return a client's virtual time."""
        return self._times.get(client, 0.0)

    def raise_to(self, client: str, least: float) -> None:
        """Let a client's virtual time be at least so much."""
        self._times[client] = max(self.read(client), least)


class WaitingCalls:
    """Calls of programs that have not started, for one model's engines."""

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
                least = min(map(self._shares.read, self._clients))
                self._shares.raise_to(demand.client, least)
            queue = self._clients[demand.client] = collections.OrderedDict()
        self._count += demand.call not in queue
        queue[demand.call] = demand

    def remove(self, demand: calls.CallDemand) -> None:
        """Take a call out, wherever it stands."""
        if self._urgent.pop(demand.call, None) is not None:
            return
        queue = self._clients.get(demand.client)
        if queue is None or queue.pop(demand.call, None) is None:
            return
        self._count -= 1
        if not queue:
            del self._clients[demand.client]

    def peek(self, urgent: bool) -> calls.CallDemand | None:
        """Return the next urgent call, or the next of the others."""
        if urgent:
            return next(iter(self._urgent.values()), None)
        if not self._clients:
            return None
        client = min(self._clients, key=self._shares.read)
        return next(iter(self._clients[client].values()))

    def list_hopeless(
        self, interval: float, now: float
    ) -> list[calls.CallDemand]:
        """Return the calls that will not start before their deadlines.

        ``interval`` is the seconds between two admissions. Who is listed
        leaves the places of those behind it unchanged, so each is judged as
        if those before it were gone.
        """
        hopeless = []
        for queue in self._clients.values():
            before = 0
            for demand in queue.values():
                wait = before * len(self._clients) * interval
                if now + wait > demand.deadline:
                    hopeless.append(demand)
                else:
                    before += 1
        return hopeless

    def count_before(self, demand: calls.CallDemand) -> int:
        """Return about how many calls go before a new one."""
        if demand.urgent:
            return len(self._urgent)
        return len(self)
