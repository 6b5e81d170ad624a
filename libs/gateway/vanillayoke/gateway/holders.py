"""Tokens of budgets that move between instances.

Whatever an instance was granted stays there until somebody asks for it: the
row of a budget counts it as granted all the same.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import background
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import store as store_module

# The best homes of a program that are asked for what they hold of its budget
# besides those that the row names: tokens that a stopping instance handed on
# went to the best one of its moment.
MOST_RANKED = 2
# How long a turn waits for what others hold. Most answer within milliseconds;
# one that stands still is gone from the members two seconds later. Seconds.
COLLECTING_PATIENCE = 0.5
# How long a holder that has to ask the store first is waited for. Seconds.
ANSWER_PATIENCE = 1.0
# How long an instance that has joined waits for the former home. Seconds.
FORMER_PATIENCE = 0.15
# How long an instance that stops waits for the programs' next homes; what is
# not answered by then goes on being sent. Seconds.
HANDING_PATIENCE = 0.3
# How long after a search that found nothing another one confirms it: tokens
# take some milliseconds from one instance to another. Seconds.
CONFIRMING_PAUSE = 0.15
# How long the outcome of a search holds: a program that loops asks some ten
# times a second. Seconds.
SEARCH_PAUSE = 0.5
MOST_SEARCHES = 1000
# How many programs are remembered that others got tokens of, and how many of
# these others: an instance that stops keeps some hundred programs and answers
# for seconds more, and the homes that a program has in that time are few.
MOST_HANDED_ON = 2000
MOST_RECEIVERS = 4


class _Search(typing.NamedTuple):
    """A search among the other holders that found nothing."""

    at: float
    silent: tuple[str, ...]


class Holders:
    """Collects from other instances what they hold, and hands it on."""

    def __init__(
        self,
        instance: str,
        ledger: ledger_module.Ledger,
        roster: homes_ranking.Roster,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
    ) -> None:
        self._instance = instance
        self._ledger = ledger
        self._roster = roster
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

    def use(self, peers: peers_module.Peers) -> None:
        """Ask other instances through this from now on."""
        self._peers = peers

    async def hand_over(self) -> int:
        """Give what was granted here to the programs' next homes.

        For an instance that stops; no call to the store is needed. Returns
        the number of programs.
        """
        # Tokens that go to one that is listed and never started are lost.
        others = self._drop_self(self._roster.list_live())
        programs = self._ledger.list_programs()
        if others:
            await self._wait_within(
                HANDING_PATIENCE,
                [self._transfer(program, others) for program in programs],
            )
        return len(programs)

    def give_up(self, program: str, asker: str) -> peer_messages.HandedOver:
        """Give what is free to an asker, and say who got what was here.

        While all instances leave they differ about who stays, and tokens go
        to instances that no row names and that rank too low to be asked by
        themselves. A search follows them from those that are.
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

    async def collect(self, program: str, until: float) -> bool:
        """Take over what other instances hold of a budget; say if any did.

        The row counts what was granted, not what was used: while homes
        change, grants stay with the ones before. "Spent" ends a program, so
        it is said only once the others have been asked. Raise
        ``StoreRefusedError`` if one of them does not answer.
        """
        running = self._running.get(program)
        if running is None:
            running = asyncio.ensure_future(self._collect(program, until))
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

    async def _collect(self, program: str, until: float) -> bool:
        now = self._timers.now()
        last = self._searches.get(program)
        if last is not None and now - last.at < SEARCH_PAUSE:
            return False
        patience = max(0.0, min(COLLECTING_PATIENCE, until - now))
        if await self._search(program, patience):
            return True
        if self._searches[program].silent:
            return False
        # Tokens that were on their way between two others have arrived then.
        await self._timers.sleep(CONFIRMING_PAUSE)
        return await self._search(program, patience)

    async def _search(self, program: str, patience: float) -> bool:
        """Ask all that may hold tokens; say if any did."""
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
            # Another one may take it back at once: that is no reason to call
            # the budget spent without a further search.
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
        """Return the results that come in time; the rest goes on.

        Tokens that are on the way when the time is over must not be dropped.
        """
        tasks = [background.start(one, self._spawn) for one in work]
        if tasks:
            await asyncio.wait(tasks, timeout=patience)
        return [one.result() if one.done() else None for one in tasks]

    def _name_holders(self, program: str) -> set[str]:
        """Return the instances that are known to have been given tokens."""
        granted = (name for name, _ in self._ledger.list_holders(program))
        return {*granted, *self._receivers.get(program, ())}

    def _find_holders(
        self, program: str, named: set[str]
    ) -> list[homes_ranking.HomeMember]:
        """Return the other instances that may hold tokens."""
        others = self._drop_self(self._roster.list_reachable())
        ranked = homes_ranking.list_best(program, others, MOST_RANKED)
        wanted = named.union(one.instance for one in ranked)
        return [one for one in others if one.instance in wanted]

    def _ask_failed(
        self, program: str, named: set[str], asked: set[str]
    ) -> None:
        """Ask holders that count as failed, without waiting for them.

        While many instances start at once, each takes those that start a
        little later for failed, and hears seconds later that they live. What
        they give is there before a second search has confirmed the first.
        """
        for one in self._roster.list_failed():
            if one.instance in named and one.instance not in asked:
                asked.add(one.instance)
                self._spawn(self._take_over(program, one, asked))

    async def _take_over(
        self, program: str, holder: homes_ranking.HomeMember, asked: set[str]
    ) -> int | None:
        """Take over the tokens of a holder and of those it gave some to.

        ``asked`` names who is left out, and grows. Return ``None`` if one is
        silent and nothing was got.
        """
        answer = await self._ask_for_tokens(program, holder)
        if answer is None:
            return None
        further = [
            one
            for one in self._roster.list_reachable()
            if one.instance in answer.receivers and one.instance not in asked
        ]
        asked.update(one.instance for one in further)
        found = await asyncio.gather(
            *(self._take_over(program, one, asked) for one in further)
        )
        taken = answer.tokens + sum(filter(None, found))
        return None if not taken and None in found else taken

    async def _ask_for_tokens(
        self, program: str, holder: homes_ranking.HomeMember
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

    async def ask_former_home(self, program: str) -> None:
        """Ask the former home of a program for what it still has.

        An instance that has just joined became the home of programs that
        are under way.
        """
        if self._ledger.has_account(program):
            return
        others = self._drop_self(self._roster.list_homes())
        former = homes_ranking.find_home(program, others)
        if former is None:
            return
        await self._wait_within(
            FORMER_PATIENCE,
            [self._take_over(program, former, {self._instance})],
        )

    async def _transfer(
        self,
        program: str,
        others: typing.Sequence[homes_ranking.HomeMember],
    ) -> int:
        home = homes_ranking.find_home(program, others)
        # Given up before it is sent: a message that is lost loses tokens,
        # and one that arrives late does not make them count twice.
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
        self, members: typing.Iterable[homes_ranking.HomeMember]
    ) -> list[homes_ranking.HomeMember]:
        return [one for one in members if one.instance != self._instance]
