"""Transfers of budget tokens between instances.

Granted tokens stay with an instance until another one requests them; the
budget's row counts them as granted either way.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import background
from vanillayoke.gateway import credit_promises
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module

# Instances that are asked for a program's tokens besides those named by its
# row, in order of their scores: a stopping instance transfers its tokens to
# the highest-ranked instance that it knows.
MAX_RANKED_HOLDERS = 2
# Most holders respond within milliseconds. One that is unresponsive counts as
# failed after two seconds.
COLLECT_TIMEOUT_SECONDS = 0.5
# A holder may have to read the store before it responds.
RESPONSE_TIMEOUT_SECONDS = 1.0
FORMER_COORDINATOR_TIMEOUT_SECONDS = 0.15
# How long a stopping instance waits for acknowledgements; transfers are still
# repeated afterwards.
HAND_OVER_TIMEOUT_SECONDS = 0.3
# Delay before an empty search is repeated, since tokens may be in transit.
CONFIRMATION_DELAY_SECONDS = 0.15
# How long an empty search is valid. A program in a loop sends some ten
# requests a second.
SEARCH_VALIDITY_SECONDS = 0.5
MAX_SEARCHES = 1000
# Programs for which receivers of tokens are remembered, and receivers of each.
# A stopping instance has some hundred programs and responds for some seconds
# more, in which a program has few coordinators.
MAX_TRANSFERRED_PROGRAMS = 2000
MAX_RECEIVERS = 4


class _Search(typing.NamedTuple):
    """A search that found no tokens at other instances."""

    searched_at: float
    unresponsive: tuple[str, ...]


class TokenTransfers:
    """Collects tokens from other instances and transfers them."""

    def __init__(
        self,
        instance: str,
        ledger: ledger_module.Ledger,
        membership: rendezvous.MembershipView,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
    ) -> None:
        self._instance = instance
        self._ledger = ledger
        self._membership = membership
        self._timers = timer_service
        self._spawn = spawn
        self._peers: peers_module.Peers | None = None
        self._pending: dict[str, asyncio.Future[bool]] = {}
        self._searches: collections.OrderedDict[str, _Search] = (
            collections.OrderedDict()
        )
        self._receivers: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    async def hand_over(self) -> int:
        """Transfer all free tokens to the programs' next coordinators.

        Called when this instance stops; makes no call to the store. Return
        the number of programs.
        """
        # Only live instances: tokens sent to one that is listed in the store
        # and never started would be lost.
        peers = self._exclude_self(self._membership.list_live_eligible())
        programs = self._ledger.list_with_free_tokens()
        if peers:
            await self._wait_within(
                HAND_OVER_TIMEOUT_SECONDS,
                [self._transfer(program, peers) for program in programs],
            )
        return len(programs)

    def release(
        self, program: str, requester: str
    ) -> peer_messages.HandedOver:
        """Release the free tokens; return them with their former receivers.

        While all instances are leaving, their membership views differ. Tokens
        may then move to instances that no row names and that rank too low to
        be asked. A search finds these through the receivers returned here.
        """
        former_receivers = self._receivers.get(program, ())
        tokens = self._ledger.withdraw(program, requester)
        if tokens > 0 and requester:
            self._record_receiver(program, requester)
        statement = self._ledger.make_credit_statement(program) or ()
        return peer_messages.HandedOver(tokens, former_receivers, *statement)

    def _record_receiver(self, program: str, receiver: str) -> None:
        others = [
            name
            for name in self._receivers.get(program, ())
            if name != receiver
        ]
        self._receivers[program] = (*others[1 - MAX_RECEIVERS :], receiver)
        self._receivers.move_to_end(program)
        if len(self._receivers) > MAX_TRANSFERRED_PROGRAMS:
            self._receivers.popitem(last=False)

    async def collect(self, program: str, deadline: float) -> bool:
        """Collect tokens from other instances; return whether there were any.

        The row counts tokens granted, not used, and former coordinators keep
        their grants. A spent budget ends a program, so it is reported only
        after the other instances have been asked. Raise
        ``StoreRefusedError`` if one of them does not respond.
        """
        pending = self._pending.get(program)
        if pending is None:
            pending = asyncio.ensure_future(self._collect(program, deadline))
            self._pending[program] = pending
            pending.add_done_callback(lambda _: self._pending.pop(program))
        if await asyncio.shield(pending):
            return True
        unresponsive = self._searches[program].unresponsive
        if unresponsive:
            raise store_module.StoreRefusedError(
                f'no response from {", ".join(unresponsive)} about the budget'
            )
        return False

    def get_search_time(self, program: str) -> float:
        """Return when the last search ended that found no tokens."""
        return self._searches[program].searched_at

    async def _collect(self, program: str, deadline: float) -> bool:
        now = self._timers.now()
        previous = self._searches.get(program)
        if (
            previous is not None
            and now - previous.searched_at < SEARCH_VALIDITY_SECONDS
        ):
            return False
        timeout_seconds = max(
            0.0, min(COLLECT_TIMEOUT_SECONDS, deadline - now)
        )
        if await self._search(program, timeout_seconds):
            return True
        if self._searches[program].unresponsive:
            return False
        # Tokens in transit between two other instances arrive meanwhile.
        await self._timers.sleep(CONFIRMATION_DELAY_SECONDS)
        return await self._search(program, timeout_seconds)

    async def _search(self, program: str, timeout_seconds: float) -> bool:
        """Ask all possible holders; return whether any had tokens."""
        named = self._list_known_holders(program)
        holders = self._list_possible_holders(program, named)
        queried = {self._instance, *(peer.instance for peer in holders)}
        self._query_lost(program, named, queried)
        results = await self._wait_within(
            timeout_seconds,
            [self._collect_from(program, peer, queried) for peer in holders],
        )
        unresponsive = tuple(
            peer.instance
            for peer, tokens in zip(holders, results, strict=True)
            if tokens is None
        )
        if any(results):
            # Another instance may collect the tokens again at once; the
            # budget must not be reported spent without a further search.
            self._searches.pop(program, None)
            return True
        self._searches[program] = _Search(self._timers.now(), unresponsive)
        self._searches.move_to_end(program)
        if len(self._searches) > MAX_SEARCHES:
            self._searches.popitem(last=False)
        return False

    async def _wait_within(
        self,
        timeout_seconds: float,
        coroutines: typing.Sequence[
            typing.Coroutine[typing.Any, typing.Any, int]
        ],
    ) -> list[int | None]:
        """Return the results available in time, ``None`` for the others.

        The others continue: tokens that arrive later must not be dropped.
        """
        tasks = [background.start(each, self._spawn) for each in coroutines]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_seconds)
        return [task.result() if task.done() else None for task in tasks]

    def _list_known_holders(self, program: str) -> set[str]:
        """Return the instances known to have received tokens."""
        granted = (name for name, _ in self._ledger.list_holders(program))
        return {*granted, *self._receivers.get(program, ())}

    def _list_possible_holders(
        self, program: str, named: set[str]
    ) -> list[rendezvous.Peer]:
        """Return the other instances that may hold tokens."""
        peers = self._exclude_self(self._membership.list_reachable())
        ranked = rendezvous.list_highest(program, peers, MAX_RANKED_HOLDERS)
        possible = named.union(peer.instance for peer in ranked)
        return [peer for peer in peers if peer.instance in possible]

    def _query_lost(
        self, program: str, named: set[str], queried: set[str]
    ) -> None:
        """Ask holders regarded as failed or gone, without waiting for them.

        While many instances start together, each regards those that start
        later as failed, or as gone since their last stop, for some seconds.
        Their tokens arrive before the search is repeated.
        """
        for peer in self._membership.list_lost():
            if peer.instance in named and peer.instance not in queried:
                queried.add(peer.instance)
                self._spawn(self._collect_from(program, peer, queried))

    async def _collect_from(
        self, program: str, holder: rendezvous.Peer, queried: set[str]
    ) -> int | None:
        """Collect the tokens of a holder and of those it transferred to.

        ``queried`` names instances to leave out, and is extended. Return
        ``None`` if one does not respond and no tokens were collected.
        """
        response = await self._request_tokens(program, holder)
        if response is None:
            return None
        further = [
            peer
            for peer in self._membership.list_reachable()
            if peer.instance in response.receivers
            and peer.instance not in queried
        ]
        queried.update(peer.instance for peer in further)
        results = await asyncio.gather(
            *(self._collect_from(program, peer, queried) for peer in further)
        )
        collected = response.tokens + sum(filter(None, results))
        return None if not collected and None in results else collected

    async def _request_tokens(
        self, program: str, holder: rendezvous.Peer
    ) -> peer_messages.HandedOver | None:
        response = await self._peers.send_request(
            holder.address,
            peer_messages.HandOver(program, self._instance),
            self._timers.now() + RESPONSE_TIMEOUT_SECONDS,
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )
        if not isinstance(response, peer_messages.HandedOver):
            return None
        if response.settled_creditor:
            self._ledger.settle_credit(
                program,
                credit_promises.Statement(
                    response.settled_creditor, response.was_only_coordinator
                ),
            )
        if response.tokens > 0:
            self._ledger.deposit(program, response.tokens, holder.instance)
        return response

    async def collect_from_former(self, program: str) -> None:
        """Collect a program's tokens from its former coordinator.

        An instance that has just joined becomes the coordinator of programs
        that are already running.
        """
        if self._ledger.has_account(program):
            return
        peers = self._exclude_self(self._membership.list_eligible())
        former = rendezvous.find_coordinator(program, peers)
        if former is None:
            return
        await self._wait_within(
            FORMER_COORDINATOR_TIMEOUT_SECONDS,
            [self._collect_from(program, former, {self._instance})],
        )

    async def _transfer(
        self,
        program: str,
        peers: typing.Sequence[rendezvous.Peer],
    ) -> int:
        coordinator = rendezvous.find_coordinator(program, peers)
        # Withdrawn before sending: a lost message loses tokens, but a late
        # one never counts them twice.
        tokens = self._ledger.withdraw(program, coordinator.instance)
        self._record_receiver(program, coordinator.instance)
        await self._peers.send_request(
            coordinator.address,
            peer_messages.Transfer(program, tokens),
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )
        return tokens

    def _exclude_self(
        self, peers: typing.Iterable[rendezvous.Peer]
    ) -> list[rendezvous.Peer]:
        return [peer for peer in peers if peer.instance != self._instance]
