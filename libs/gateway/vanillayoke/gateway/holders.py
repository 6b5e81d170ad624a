"""Tokens of budgets that move between instances.

Whatever an instance was granted stays there until somebody asks for it: the
row of a budget counts it as granted all the same.
"""

import asyncio
import heapq
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import store as store_module

# The best homes of a program that are asked for what they hold of its budget
# besides those that the row names: tokens that a stopping instance handed on
# went to the best one of its moment.
MOST_RANKED = 2


class Holders:
    """Collects from other instances what they hold, and hands it on."""

    def __init__(
        self,
        instance: str,
        ledger: ledger_module.Ledger,
        list_members: homes_ranking.ListMembers,
        list_reachable: homes_ranking.ListMembers,
        timer_service: timers.TimerService,
    ) -> None:
        self._instance = instance
        self._ledger = ledger
        self._list_members = list_members
        self._list_reachable = list_reachable
        self._timers = timer_service
        self._peers: peers_module.Peers | None = None

    def use(self, peers: peers_module.Peers) -> None:
        """Ask other instances through this from now on."""
        self._peers = peers

    async def hand_over(self) -> int:
        """Give what was granted here to the programs' next homes.

        For an instance that stops; no call to the store is needed. Returns
        the number of programs.
        """
        others = self._drop_self(self._list_members())
        programs = self._ledger.list_programs()
        if others:
            await asyncio.gather(
                *(self._transfer(program, others) for program in programs)
            )
        return len(programs)

    async def collect(self, program: str) -> bool:
        """Take over what other instances hold of a budget; say if any did.

        The row counts what was granted, not what was used: while homes
        change, grants stay with the ones before. "Spent" ends a program, so
        it is said only once the others have been asked. Raise
        ``StoreRefusedError`` if one of them does not answer.
        """
        if self._ledger.is_searched(program):
            return False
        holders = self._find_holders(program)
        found = await asyncio.gather(
            *(self._take_over(program, one) for one in holders)
        )
        if any(found):
            return True
        silent = [
            one.instance
            for one, tokens in zip(holders, found, strict=True)
            if tokens is None
        ]
        if silent:
            raise store_module.StoreRefusedError(
                f'what {", ".join(silent)} hold of the budget is not known'
            )
        self._ledger.note_searched(program)
        return False

    def _find_holders(self, program: str) -> list[homes_ranking.HomeMember]:
        """Return the other instances that may hold tokens."""
        others = self._drop_self(self._list_reachable())
        named = set(self._ledger.list_holders(program))
        ranked = heapq.nlargest(
            MOST_RANKED,
            others,
            key=lambda one: homes_ranking.find_score(program, one.instance),
        )
        named.update(one.instance for one in ranked)
        return [one for one in others if one.instance in named]

    async def _take_over(
        self,
        program: str,
        holder: homes_ranking.HomeMember,
        repeats: typing.Sequence[float] = peers_module.LASTING_REPEATS,
    ) -> int | None:
        """Take over the tokens of a holder; ``None`` if it is silent."""
        answer = await self._peers.ask(
            holder.address,
            peers_module.HandOver(program),
            self._timers.now(),
            repeats,
        )
        if not isinstance(answer, peers_module.Handed):
            return None
        if answer.tokens > 0:
            self._ledger.deposit(program, answer.tokens)
        return answer.tokens

    async def ask_former_home(self, program: str) -> None:
        """Ask the former home of a program for what it still has.

        An instance that has just joined became the home of programs that
        are under way.
        """
        if self._ledger.has_account(program):
            return
        others = self._drop_self(self._list_members())
        former = homes_ranking.find_home(program, others)
        if former is None:
            return
        # Each first turn of a program waits for this; what a silent instance
        # holds is asked for again before the budget is called spent.
        await self._take_over(program, former, peers_module.REPEATS)

    async def _transfer(
        self,
        program: str,
        others: typing.Sequence[homes_ranking.HomeMember],
    ) -> None:
        home = homes_ranking.find_home(program, others)
        # Given up before it is sent: a message that is lost loses tokens,
        # and one that arrives late does not make them count twice.
        tokens = self._ledger.withdraw(program)
        await self._peers.ask(
            home.address,
            peers_module.Transfer(program, tokens),
            self._timers.now(),
            peers_module.LASTING_REPEATS,
        )

    def _drop_self(
        self, members: typing.Iterable[homes_ranking.HomeMember]
    ) -> list[homes_ranking.HomeMember]:
        return [one for one in members if one.instance != self._instance]
