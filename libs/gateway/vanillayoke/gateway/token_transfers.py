"""Transfers of budget tokens between instances.

Granted tokens stay with an instance until another one requests them; the
budget's row counts them as granted either way.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import background
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module

# Instances that are asked for a program's tokens besides those named by its
# row, in order of their scores: a stopping instance transfers its tokens to
# the highest-ranked instance that it knows.
MOST_RANKED = 2
COLLECTING_PATIENCE = 0.5
# A holder may have to read the store before it responds.
ANSWER_PATIENCE = 1.0
FORMER_PATIENCE = 0.15
# How long a stopping instance waits for acknowledgements; transfers are still
# repeated afterwards.
HANDING_PATIENCE = 0.3
# Delay before an empty search is repeated, since tokens may be in transit.
CONFIRMING_PAUSE = 0.15
# How long an empty search is valid.
SEARCH_PAUSE = 0.5
MOST_SEARCHES = 1000
# Programs for which receivers of tokens are remembered, and receivers of each.
MOST_HANDED_ON = 2000
MOST_RECEIVERS = 4


class _Search(typing.NamedTuple):
    """A search that found no tokens at other instances."""

    at: float
    silent: tuple[str, ...]


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
        self._running: dict[str, asyncio.Future[bool]] = {}
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
        others = self._drop_self(self._membership.list_live_eligible())
        programs = self._ledger.list_with_free_tokens()
        if others:
            await self._wait_within(
                HANDING_PATIENCE,
                [self._transfer(program, others) for program in programs],
            )
        return len(programs)

    def release(self, program: str, asker: str) -> peer_messages.HandedOver:
        """Release the free tokens; return them with their former receivers.

        While all instances are leaving, their membership views differ. Tokens
        may then move to instances that no row names and that rank too low to
        be asked. A search finds these through the receivers returned here.
        """
        before = self._receivers.get(program, ())
        tokens = self._ledger.withdraw(program)
        if tokens > 0 and asker:
            self._note_receiver(program, asker)
        return peer_messages.HandedOver(tokens, before)

    def _note_receiver(self, program: str, receiver: str) -> None:
        others = [
            one for one in self._receivers.get(program, ()) if one != receiver
        ]
        self._receivers[program] = (*others[1 - MOST_RECEIVERS :], receiver)
        self._receivers.move_to_end(program)
        if len(self._receivers) > MOST_HANDED_ON:
            self._receivers.popitem(last=False)

    async def collect(self, program: str, deadline: float) -> bool:
        """Collect tokens from other instances; return whether there were any.

        The row counts tokens granted, not used, and former coordinators keep
        their grants. A spent budget ends a program, so it is reported only
        after the other instances have been asked. Raise
        ``StoreRefusedError`` if one of them does not respond.
        """
        running = self._running.get(program)
        if running is None:
            running = asyncio.ensure_future(self._collect(program, deadline))
            self._running[program] = running
            running.add_done_callback(lambda _: self._running.pop(program))
        if await asyncio.shield(running):
            return True
        silent = self._searches[program].silent
        if silent:
            raise store_module.StoreRefusedError(
                f'what {", ".join(silent)} hold of the budget is not known'
            )
        return False

    async def _collect(self, program: str, deadline: float) -> bool:
        now = self._timers.now()
        last = self._searches.get(program)
        if last is not None and now - last.at < SEARCH_PAUSE:
            return False
        patience = max(0.0, min(COLLECTING_PATIENCE, deadline - now))
        if await self._search(program, patience):
            return True
        if self._searches[program].silent:
            return False
        # Tokens in transit between two other instances arrive meanwhile.
        await self._timers.sleep(CONFIRMING_PAUSE)
        return await self._search(program, patience)

    async def _search(self, program: str, patience: float) -> bool:
        """Ask all possible holders; return whether any had tokens."""
        named = self._name_holders(program)
        holders = self._find_holders(program, named)
        asked = {self._instance, *(one.instance for one in holders)}
        self._ask_failed(program, named, asked)
        found = await self._wait_within(
            patience, [self._take_over(program, one, asked) for one in holders]
        )
        silent = tuple(
            one.instance
            for one, tokens in zip(holders, found, strict=True)
            if tokens is None
        )
        if any(found):
            # Another instance may collect the tokens again at once; the
            # budget must not be reported spent without a further search.
            self._searches.pop(program, None)
            return True
        self._searches[program] = _Search(self._timers.now(), silent)
        self._searches.move_to_end(program)
        if len(self._searches) > MOST_SEARCHES:
            self._searches.popitem(last=False)
        return False

    async def _wait_within(
        self,
        patience: float,
        work: typing.Sequence[typing.Coroutine[typing.Any, typing.Any, int]],
    ) -> list[int | None]:
        """Return the results available in time, ``None`` for the others.

        The others continue: tokens that arrive later must not be dropped.
        """
        tasks = [background.start(one, self._spawn) for one in work]
        if tasks:
            await asyncio.wait(tasks, timeout=patience)
        return [one.result() if one.done() else None for one in tasks]

    def _name_holders(self, program: str) -> set[str]:
        """Return the instances known to have received tokens."""
        granted = (name for name, _ in self._ledger.list_holders(program))
        return {*granted, *self._receivers.get(program, ())}

    def _find_holders(
        self, program: str, named: set[str]
    ) -> list[rendezvous.Peer]:
        """Return the other instances that may hold tokens."""
        others = self._drop_self(self._membership.list_reachable())
        ranked = rendezvous.list_highest(program, others, MOST_RANKED)
        wanted = named.union(one.instance for one in ranked)
        return [one for one in others if one.instance in wanted]

    def _ask_failed(
        self, program: str, named: set[str], asked: set[str]
    ) -> None:
        """Ask holders regarded as failed, without waiting for them.

        While many instances start together, each regards those that start
        later as failed for some seconds. Their tokens arrive before the
        search is repeated.
        """
        for one in self._membership.list_failed():
            if one.instance in named and one.instance not in asked:
                asked.add(one.instance)
                self._spawn(self._take_over(program, one, asked))

    async def _take_over(
        self, program: str, holder: rendezvous.Peer, asked: set[str]
    ) -> int | None:
        """Collect the tokens of a holder and of those it transferred to.

        ``asked`` names instances to leave out, and is extended. Return
        ``None`` if one does not respond and no tokens were collected.
        """
        answer = await self._ask_for_tokens(program, holder)
        if answer is None:
            return None
        further = [
            one
            for one in self._membership.list_reachable()
            if one.instance in answer.receivers and one.instance not in asked
        ]
        asked.update(one.instance for one in further)
        found = await asyncio.gather(
            *(self._take_over(program, one, asked) for one in further)
        )
        taken = answer.tokens + sum(filter(None, found))
        return None if not taken and None in found else taken

    async def _ask_for_tokens(
        self, program: str, holder: rendezvous.Peer
    ) -> peer_messages.HandedOver | None:
        answer = await self._peers.send_request(
            holder.address,
            peer_messages.HandOver(program, self._instance),
            self._timers.now() + ANSWER_PATIENCE,
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )
        if not isinstance(answer, peer_messages.HandedOver):
            return None
        if answer.tokens > 0:
            self._ledger.deposit(program, answer.tokens)
        return answer

    async def collect_from_former(self, program: str) -> None:
        """Collect a program's tokens from its former coordinator.

        An instance that has just joined becomes the coordinator of programs
        that are already running.
        """
        if self._ledger.has_account(program):
            return
        others = self._drop_self(self._membership.list_eligible())
        former = rendezvous.find_coordinator(program, others)
        if former is None:
            return
        await self._wait_within(
            FORMER_PATIENCE,
            [self._take_over(program, former, {self._instance})],
        )

    async def _transfer(
        self,
        program: str,
        others: typing.Sequence[rendezvous.Peer],
    ) -> int:
        home = rendezvous.find_coordinator(program, others)
        # Withdrawn before sending: a lost message loses tokens, but a late
        # one never counts them twice.
        tokens = self._ledger.withdraw(program)
        self._note_receiver(program, home.instance)
        await self._peers.send_request(
            home.address,
            peer_messages.Transfer(program, tokens),
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )
        return tokens

    def _drop_self(
        self, members: typing.Iterable[rendezvous.Peer]
    ) -> list[rendezvous.Peer]:
        return [one for one in members if one.instance != self._instance]
