"""Reservations of program budgets, made at each program's coordinator.

The coordinator is the live instance with the highest rendezvous score for the
program. All turns of a program reserve there, so that one grant of the store
serves many turns and most turns need no call to the store. Safety does not
depend on instances agreeing about the coordinator: two instances that both
reserve do so from separate grants.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import background
from vanillayoke.gateway import coordinator_client
from vanillayoke.gateway import exclusivity as exclusivity_module
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import program_tracking
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import token_transfers
from vanillayoke.scheduling import program_slack

# How long the store may take on behalf of another instance.
HOME_PATIENCE = 2.5
# How long after joining this instance asks the former coordinators of
# programs for their tokens.
JOIN_PERIOD_SECONDS = 20.0
# How long a turn waits for a grant before it proceeds on credit.
CREDIT_TIMEOUT_SECONDS = 0.1
# Programs whose credit is recorded concurrently.
MOST_CREDITS = 10
# Rounds of collecting tokens from other instances for one turn.
MOST_COLLECTIONS = 4
MOST_REMEMBERED = 2000
# Interval of the check that the event loop is running.
TICK_INTERVAL_SECONDS = 0.25


class Reservation(typing.NamedTuple):
    """The outcome of a reservation.

    ``coordinator`` is the address of the instance that made it, '' for this
    one.
    ``target`` is the target that caches most of the prompt, if known.
    """

    is_granted: bool
    coordinator: str
    slack: program_slack.Slack | None
    target: str | None = None


def _remember(
    known: collections.OrderedDict[typing.Any, None], key: typing.Any
) -> None:
    """Add a key, and evict the oldest one beyond the maximum size."""
    known[key] = None
    known.move_to_end(key)
    if len(known) > MOST_REMEMBERED:
        known.popitem(last=False)


class Reservations:
    """Reserves and settles tokens at the coordinator of each program."""

    def __init__(
        self,
        instance: str,
        ledger: ledger_module.Ledger,
        membership: rendezvous.MembershipView,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        exclusivity: exclusivity_module.Exclusivity,
        on_credit: typing.Callable[[str, str, int], None],
    ) -> None:
        self._instance = instance
        self._exclusivity = exclusivity
        self._on_credit = on_credit
        self._ledger = ledger
        self._membership = membership
        self._timers = timer_service
        self._spawn = spawn
        self._began = timer_service.now()
        self._program_tracker = program_tracking.ProgramTracker()
        self._transfers = token_transfers.TokenTransfers(
            instance,
            ledger,
            membership,
            timer_service,
            spawn,
        )
        self._calls = coordinator_client.CoordinatorClient(
            membership, timer_service, spawn
        )
        self.is_leaving = False
        # Turns that have ended, by program. A request to reserve for one may
        # still arrive, late or duplicated, and would never be settled.
        self._ended: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        # Programs first seen shortly after a failure of the store: their
        # former coordinators may have given them credit.
        self._uncharged: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Programs that other instances have reserved for while this instance
        # was their coordinator.
        self._shared: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._calls.set_peers(peers)
        self._transfers.set_peers(peers)

    async def hand_over(self) -> int:
        """Transfer all free tokens to the programs' next coordinators.

        Called when this instance stops; makes no call to the store. Return
        the number of programs.
        """
        return await self._transfers.hand_over()

    def reserve_locally(
        self, question: peer_messages.Reserve
    ) -> Reservation | None:
        """Reserve from this instance's own tokens; ``None`` if too few.

        They were granted to it as the program's coordinator or in its place.
        """
        self._exclusivity.record_program()
        self._charge(question)
        if not self._ledger.try_reserve(
            question.program, question.turn, question.need
        ):
            return None
        self._top_up(question)
        return self._make_reservation(question)

    async def reserve(
        self, question: peer_messages.Reserve, deadline: float
    ) -> Reservation:
        """Reserve the maximum of a turn at its program's coordinator.

        Raise ``StoreError`` if the outcome can't be determined.
        """
        found = self.reserve_locally(question)
        if found is not None:
            return found
        for home in self._calls.list_coordinators(question.program):
            if home.instance == self._instance:
                break
            answer = await self._calls.reserve(home, question, deadline)
            match answer:
                case peer_messages.Granted(slack, target):
                    return Reservation(True, home.address, slack, target)
                case peer_messages.BudgetExhausted():
                    return Reservation(False, home.address, None)
                case peer_messages.Unavailable(is_store_unavailable=True):
                    raise store_module.StoreRefusedError(
                        f'{home.instance} could not ask the store'
                    )
                case peer_messages.Pending():
                    break
        outcome = await self._reserve_apart(question, deadline)
        is_granted = outcome is ledger_module.Outcome.GRANTED
        return self._make_reservation(question)._replace(is_granted=is_granted)

    async def _reserve_apart(
        self, question: peer_messages.Reserve, deadline: float
    ) -> ledger_module.Outcome:
        """Reserve in a task that continues if the caller is cancelled.

        The row may already be written then, and its grant must be accounted
        for.
        """
        work = asyncio.ensure_future(
            self._reserve_from_store(question, deadline)
        )
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            self._spawn(self._drop_reservation(question, work))
            raise

    async def _drop_reservation(
        self,
        question: peer_messages.Reserve,
        work: asyncio.Future[ledger_module.Outcome],
    ) -> None:
        try:
            await work
        except store_module.StoreError:
            return
        self._ledger.settle(question.program, question.turn, 0)

    async def settle(
        self, address: str, question: peer_messages.Settle
    ) -> None:
        """Notify the instance that made a reservation that its turn ended."""
        if not address:
            self._settle(question)
            return
        await self._calls.settle(address, question)

    def prune(self) -> None:
        """Run maintenance: drop idle state and record credit."""
        self._ledger.prune()
        self.record_credit()
        self._program_tracker.prune(self._timers.now())

    def record_credit(self) -> None:
        """Record in the store what was given on credit, if it is available.

        Unrecorded credit is lost if this instance fails.
        """
        if self._ledger.is_store_unavailable:
            return
        for program in self._ledger.list_owing()[:MOST_CREDITS]:
            self._spawn(self._ledger.record_credit(program))

    async def _reserve_from_store(
        self, question: peer_messages.Reserve, deadline: float
    ) -> ledger_module.Outcome:
        if self._timers.now() - self._began < JOIN_PERIOD_SECONDS:
            await self._transfers.collect_from_former(question.program)
        is_sure = self._is_sure(question.program)
        if is_sure and question.allow_credit:
            if await self._reserve_soon(question):
                return ledger_module.Outcome.GRANTED
        extra = 0
        if not is_sure:
            extra = self._allow_for_predecessor(question)
        outcome = await self._reserve_in_ledger(question, deadline, extra)
        if outcome is ledger_module.Outcome.SPENT:
            outcome = await self._reserve_from_others(
                question, deadline, extra
            )
        if outcome is ledger_module.Outcome.SPENT:
            self._ledger.report_refusal(
                question.program,
                question.budget,
                question.turn,
                question.need,
            )
        self._top_up(question)
        return outcome

    async def _reserve_from_others(
        self, question: peer_messages.Reserve, deadline: float, extra: int
    ) -> ledger_module.Outcome:
        """Reserve after collecting tokens from other instances.

        Two coordinators that are both short of tokens could take them from
        each other until their callers time out, so the rounds are limited.
        """
        for _ in range(MOST_COLLECTIONS):
            if not await self._transfers.collect(question.program, deadline):
                # Turns may have ended during the collection.
                if self._ledger.try_reserve(
                    question.program, question.turn, question.need
                ):
                    return ledger_module.Outcome.GRANTED
                return ledger_module.Outcome.SPENT
            outcome = await self._reserve_in_ledger(question, deadline, extra)
            if outcome is ledger_module.Outcome.GRANTED:
                return outcome
        raise store_module.StoreRefusedError(
            'other instances need the rest of the budget'
        )

    async def _reserve_in_ledger(
        self, question: peer_messages.Reserve, deadline: float, extra: int
    ) -> ledger_module.Outcome:
        return await self._ledger.reserve(
            question.program,
            question.budget,
            question.turn,
            question.need,
            deadline,
            extra,
        )

    def _allow_for_predecessor(self, question: peer_messages.Reserve) -> int:
        """Allow for tokens that a former coordinator may have lost or given.

        Credit that it may have given is charged to the program. Return the
        tokens that may be granted beyond the budget: one turn's maximum.
        """
        is_new = not self._ledger.has_account(question.program)
        now = self._timers.now()
        if is_new and self._exclusivity.had_recent_store_failure(now):
            _remember(self._uncharged, question.program)
        self._charge(question)
        return question.need

    def _charge(self, question: peer_messages.Reserve) -> None:
        """Charge once what a former coordinator may have given on credit.

        Only turns that may run on credit are charged. A new program that
        never gets credit could otherwise be refused as spent at its first
        turn after one or two coordinators failed.
        """
        if question.allow_credit and question.program in self._uncharged:
            del self._uncharged[question.program]
            self._ledger.charge_former_credit(
                question.program, question.budget, question.need
            )

    async def _reserve_soon(self, question: peer_messages.Reserve) -> bool:
        """Reserve from the store, or on credit if it takes too long."""
        asked = background.start(
            self._ledger.top_up(
                question.program, question.budget, question.need
            ),
            self._spawn,
        )
        await asyncio.wait((asked,), timeout=CREDIT_TIMEOUT_SECONDS)
        if self._ledger.try_reserve(
            question.program, question.turn, question.need
        ):
            return True
        if asked.done() and not self._ledger.is_store_unreachable:
            # The store has responded: the budget may be spent.
            return False
        return self._give_credit(question)

    def _give_credit(self, question: peer_messages.Reserve) -> bool:
        """Reserve without the store, if that can't exceed the budget."""
        if not question.allow_credit or not self._is_sure(question.program):
            return False
        tokens = self._ledger.reserve_on_credit(
            question.program, question.budget, question.turn, question.need
        )
        if tokens:
            self._on_credit(question.program, question.turn, tokens)
        return bool(tokens)

    def _is_sure(self, program: str) -> bool:
        """Return whether no other instance can have granted tokens."""
        if self.is_leaving or program in self._shared:
            return False
        now = self._timers.now()
        members = self._membership.list_eligible()
        self._exclusivity.update_members(
            (one.instance for one in members), now
        )
        home = rendezvous.find_coordinator(program, members)
        if home is None or home.instance != self._instance:
            return False
        return self._exclusivity.is_exclusive(
            program, now, self._timers.wall(), TICK_INTERVAL_SECONDS
        )

    def _top_up(self, question: peer_messages.Reserve) -> None:
        if self._ledger.needs_top_up(question.program, question.need):
            self._spawn(
                self._ledger.top_up(
                    question.program, question.budget, question.need
                )
            )

    def _settle(self, question: peer_messages.Settle) -> None:
        was_reserved = self._ledger.settle(
            question.program, question.turn, question.used
        )
        if not was_reserved:
            _remember(self._shared, question.program)
        _remember(self._ended, (question.program, question.turn))
        self._program_tracker.record_delay(
            question.program,
            question.session,
            question.delay,
            self._timers.now(),
        )
        if question.target is not None:
            self._program_tracker.record_target(
                question.program, question.session, question.target
            )

    def _arrive(
        self, question: peer_messages.Reserve
    ) -> program_slack.Slack | None:
        if question.time_left is None:
            return None
        return self._program_tracker.start_turn(
            question.program,
            question.session,
            question.route,
            question.time_left,
            self._timers.now(),
        )

    def _make_reservation(
        self, question: peer_messages.Reserve
    ) -> Reservation:
        """Return a reservation made by this instance."""
        granted = self._grant(question)
        return Reservation(True, '', granted.slack, granted.target)

    def _grant(self, question: peer_messages.Reserve) -> peer_messages.Granted:
        target = self._program_tracker.find_target(
            question.program, question.session
        )
        return peer_messages.Granted(self._arrive(question), target)

    def handle_request(
        self, question: peer_messages.Request
    ) -> (
        peer_messages.Response
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.Response]
    ):
        """Handle a request of another instance."""
        match question:
            case peer_messages.Settle():
                self._settle(question)
                return peer_messages.Granted()
            case peer_messages.Transfer(program, tokens):
                self._ledger.deposit(program, tokens)
                return peer_messages.Granted()
            case peer_messages.HandOver(program, asker):
                _remember(self._shared, program)
                if self._ledger.has_unconfirmed_writes(program):
                    return self._give_up_sure(program, asker)
                return self._transfers.release(program, asker)
            case peer_messages.Reserve(program, _, turn, need):
                if (program, turn) in self._ended:
                    return peer_messages.Unavailable(False)
                self._charge(question)
                if self._ledger.try_reserve(program, turn, need):
                    self._top_up(question)
                    return self._grant(question)
                if self.is_leaving and self._membership.list_eligible():
                    return peer_messages.Unavailable(False)
                if self._ledger.is_store_unreachable:
                    if self._give_credit(question):
                        return self._grant(question)
                    return peer_messages.Unavailable(True)
                return self._reserve_for_other(question)

    async def _give_up_sure(
        self, program: str, asker: str
    ) -> peer_messages.Response:
        """Hand over tokens after confirming this instance's writes."""
        try:
            await self._ledger.confirm_writes(program)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        return self._transfers.release(program, asker)

    async def _reserve_for_other(
        self, question: peer_messages.Reserve
    ) -> peer_messages.Response:
        deadline = self._timers.now() + HOME_PATIENCE
        try:
            outcome = await self._reserve_from_store(question, deadline)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        if outcome is ledger_module.Outcome.SPENT:
            return peer_messages.BudgetExhausted()
        if (question.program, question.turn) in self._ended:
            # The requesting instance has timed out and settled the turn.
            self._ledger.settle(question.program, question.turn, 0)
            return peer_messages.Unavailable(False)
        return self._grant(question)
