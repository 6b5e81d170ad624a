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
COORDINATOR_TIMEOUT_SECONDS = 2.5
# How long after joining this instance asks the former coordinators of
# programs for their tokens. Programs that were running at that time have ended
# or reserved here by then.
JOIN_PERIOD_SECONDS = 20.0
# How long a turn waits for a grant before it proceeds on credit. A healthy
# store responds within some ten milliseconds.
CREDIT_TIMEOUT_SECONDS = 0.1
# Programs whose credit is recorded concurrently. Each coordinator gives credit
# to a few programs, but all of them write when the store recovers.
MAX_CREDIT_WRITES = 10
# Rounds of collecting tokens from other instances for one turn.
MAX_COLLECTION_ROUNDS = 4
# A coordinator gets some ten turns a second, and programs last for seconds.
MAX_RECENT_KEYS = 2000
# Interval of the check that the event loop is running.
TICK_INTERVAL_SECONDS = 0.25


EndedProgram = program_tracking.EndedProgram


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


def _add_bounded(
    keys: collections.OrderedDict[typing.Any, None], key: typing.Any
) -> None:
    """Add a key, and evict the oldest one beyond the maximum size."""
    keys[key] = None
    keys.move_to_end(key)
    if len(keys) > MAX_RECENT_KEYS:
        keys.popitem(last=False)


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
        self._started_at = timer_service.now()
        self._program_tracker = program_tracking.ProgramTracker()
        self._transfers = token_transfers.TokenTransfers(
            instance,
            ledger,
            membership,
            timer_service,
            spawn,
        )
        self._client = coordinator_client.CoordinatorClient(
            membership, timer_service, spawn
        )
        self.is_leaving = False
        self._is_closed = False
        # Turns that have ended, by program. A request to reserve for one may
        # still arrive, late or duplicated, and would never be settled.
        self._ended_turns: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        # Programs that other instances have reserved for while this instance
        # was their coordinator.
        self._reserved_elsewhere: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._client.set_peers(peers)
        self._transfers.set_peers(peers)

    def set_program_observer(
        self, on_ended: typing.Callable[[EndedProgram], None]
    ) -> None:
        """Set what is called for each program that has ended."""
        self._program_tracker.on_ended = on_ended

    def is_begun(self, program: str) -> bool:
        """Return whether a turn of a program has reserved here."""
        return program in self._program_tracker or self._ledger.has_account(
            program
        )

    async def hand_over(self) -> int:
        """Transfer all free tokens to the programs' next coordinators.

        Called when this instance stops; makes no call to the store. Return
        the number of programs.
        """
        return await self._transfers.hand_over()

    def close(self) -> None:
        """Reserve nothing more for turns of other instances.

        What is granted after the other grants were returned would be lost.
        """
        self._is_closed = True

    def reserve_locally(
        self, request: peer_messages.Reserve
    ) -> Reservation | None:
        """Reserve from this instance's own tokens; ``None`` if too few.

        They were granted to it as the program's coordinator or in its place.
        """
        self._exclusivity.record_program()
        if not self._ledger.try_reserve(
            request.program, request.turn, request.need
        ):
            return None
        self._top_up(request)
        return self._make_reservation(request)

    async def reserve(
        self, request: peer_messages.Reserve, deadline: float
    ) -> Reservation:
        """Reserve the maximum of a turn at its program's coordinator.

        Raise ``StoreError`` if the outcome can't be determined.
        """
        reservation = self.reserve_locally(request)
        if reservation is not None:
            return reservation
        for coordinator in self._client.list_coordinators(request.program):
            if coordinator.instance == self._instance:
                break
            response = await self._client.reserve(
                coordinator, request, deadline
            )
            match response:
                case peer_messages.Granted(slack, target):
                    return Reservation(
                        True, coordinator.address, slack, target
                    )
                case peer_messages.BudgetExhausted():
                    return Reservation(False, coordinator.address, None)
                case peer_messages.Unavailable(is_store_unavailable=True):
                    raise store_module.StoreRefusedError(
                        f'{coordinator.instance} could not reach the store'
                    )
                case peer_messages.Pending():
                    break
        outcome = await self._reserve_shielded(request, deadline)
        is_granted = outcome is ledger_module.Outcome.GRANTED
        return self._make_reservation(request)._replace(is_granted=is_granted)

    async def _reserve_shielded(
        self, request: peer_messages.Reserve, deadline: float
    ) -> ledger_module.Outcome:
        """Reserve in a task that continues if the caller is cancelled.

        The row may already be written then, and its grant must be accounted
        for.
        """
        task = asyncio.ensure_future(
            self._reserve_from_store(request, deadline)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._spawn(self._drop_reservation(request, task))
            raise

    async def _drop_reservation(
        self,
        request: peer_messages.Reserve,
        task: asyncio.Future[ledger_module.Outcome],
    ) -> None:
        try:
            await task
        except store_module.StoreError:
            return
        self._ledger.settle(request.program, request.turn, 0)

    async def settle(
        self, address: str, request: peer_messages.Settle
    ) -> None:
        """Notify the instance that made a reservation that its turn ended."""
        if not address:
            self._settle(request)
            return
        await self._client.settle(address, request)

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
        for program in self._ledger.list_owing()[:MAX_CREDIT_WRITES]:
            terms = ledger_module.Terms(self._is_only_creditor(program))
            self._spawn(self._ledger.record_credit(program, terms))

    async def _reserve_from_store(
        self, request: peer_messages.Reserve, deadline: float
    ) -> ledger_module.Outcome:
        if self._timers.now() - self._started_at < JOIN_PERIOD_SECONDS:
            await self._transfers.collect_from_former(request.program)
        terms = self._get_terms(request)
        if terms.is_only_coordinator and request.allow_credit:
            if await self._reserve_or_give_credit(request):
                return ledger_module.Outcome.GRANTED
        outcome = await self._reserve_in_ledger(request, deadline, terms)
        if outcome is ledger_module.Outcome.SPENT:
            outcome = await self._reserve_from_others(request, deadline, terms)
        if outcome is ledger_module.Outcome.SPENT:
            self._ledger.report_refusal(
                request.program,
                request.budget,
                request.turn,
                request.need,
            )
        self._top_up(request)
        return outcome

    async def _reserve_from_others(
        self,
        request: peer_messages.Reserve,
        deadline: float,
        terms: ledger_module.Terms,
    ) -> ledger_module.Outcome:
        """Reserve after collecting tokens from other instances.

        These may also settle that none of them owes credit, which leaves more
        to grant. Two coordinators that are both short of tokens could take
        them from each other until their callers time out, so the rounds are
        limited.
        """
        for _ in range(MAX_COLLECTION_ROUNDS):
            was_settled = self._ledger.is_credit_settled(request.program)
            has_collected = await self._transfers.collect(
                request.program, deadline
            )
            is_settled = self._ledger.is_credit_settled(request.program)
            if not has_collected and is_settled == was_settled:
                # Turns may have ended during the collection, or instances
                # returned tokens to the store.
                return await self._ledger.reserve_from_row(
                    request.program,
                    request.budget,
                    request.turn,
                    request.need,
                    deadline,
                    terms,
                    self._transfers.get_search_time(request.program),
                )
            outcome = await self._reserve_in_ledger(request, deadline, terms)
            if outcome is ledger_module.Outcome.GRANTED:
                return outcome
        raise store_module.StoreRefusedError(
            'other instances compete for the rest of the budget'
        )

    async def _reserve_in_ledger(
        self,
        request: peer_messages.Reserve,
        deadline: float,
        terms: ledger_module.Terms,
    ) -> ledger_module.Outcome:
        return await self._ledger.reserve(
            request.program,
            request.budget,
            request.turn,
            request.need,
            deadline,
            terms,
        )

    def _get_terms(
        self, request: peer_messages.Reserve
    ) -> ledger_module.Terms:
        return ledger_module.Terms(
            self._is_exclusive(request.program), request.allow_credit
        )

    async def _reserve_or_give_credit(
        self, request: peer_messages.Reserve
    ) -> bool:
        """Reserve from the store, or on credit if it takes too long."""
        top_up = background.start(
            self._ledger.top_up(
                request.program,
                request.budget,
                request.need,
                self._get_terms(request),
            ),
            self._spawn,
        )
        await asyncio.wait((top_up,), timeout=CREDIT_TIMEOUT_SECONDS)
        if self._ledger.try_reserve(
            request.program, request.turn, request.need
        ):
            return True
        if top_up.done() and not self._ledger.is_store_unreachable:
            # The store has responded: the budget may be spent.
            return False
        return self._give_credit(request)

    def _give_credit(self, request: peer_messages.Reserve) -> bool:
        """Reserve without the store, if that can't exceed the budget."""
        if not request.allow_credit or not self._is_exclusive(request.program):
            return False
        tokens = self._ledger.reserve_on_credit(
            request.program, request.budget, request.turn, request.need
        )
        if tokens:
            self._on_credit(request.program, request.turn, tokens)
        return bool(tokens)

    def _is_exclusive(self, program: str) -> bool:
        """Return whether no other instance can have granted tokens."""
        if self.is_leaving or program in self._reserved_elsewhere:
            return False
        return self._is_only_creditor(program)

    def _is_only_creditor(self, program: str) -> bool:
        """Return whether no other instance can have given credit."""
        now = self._timers.now()
        eligible = self._membership.list_eligible()
        self._exclusivity.update_members(
            (peer.instance for peer in eligible), now
        )
        coordinator = rendezvous.find_coordinator(program, eligible)
        if coordinator is None or coordinator.instance != self._instance:
            return False
        return self._exclusivity.is_exclusive(
            program, now, self._timers.wall(), TICK_INTERVAL_SECONDS
        )

    def _top_up(self, request: peer_messages.Reserve) -> None:
        if self._ledger.needs_renewal(request.program):
            self._spawn(self._ledger.renew(request.program))
        if self._ledger.needs_top_up(
            request.program, request.budget, request.need
        ):
            self._spawn(
                self._ledger.top_up(
                    request.program,
                    request.budget,
                    request.need,
                    self._get_terms(request),
                )
            )

    def _settle(self, request: peer_messages.Settle) -> None:
        was_reserved = self._ledger.settle(
            request.program, request.turn, request.used
        )
        if not was_reserved:
            _add_bounded(self._reserved_elsewhere, request.program)
        _add_bounded(self._ended_turns, (request.program, request.turn))
        self._program_tracker.record_delay(
            request.program,
            request.session,
            request.delay,
            self._timers.now(),
        )
        if request.target is not None:
            self._program_tracker.record_target(
                request.program, request.session, request.target
            )

    def _start_turn(
        self, request: peer_messages.Reserve
    ) -> program_slack.Slack | None:
        if request.time_left is None:
            return None
        return self._program_tracker.start_turn(
            request.program,
            request.session,
            request.route,
            request.time_left,
            self._timers.now(),
        )

    def _make_reservation(self, request: peer_messages.Reserve) -> Reservation:
        """Return a reservation made by this instance."""
        granted = self._make_granted(request)
        return Reservation(True, '', granted.slack, granted.target)

    def _make_granted(
        self, request: peer_messages.Reserve
    ) -> peer_messages.Granted:
        target = self._program_tracker.find_target(
            request.program, request.session
        )
        return peer_messages.Granted(self._start_turn(request), target)

    def handle_request(
        self, request: peer_messages.Request
    ) -> (
        peer_messages.Response
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.Response]
    ):
        """Handle a request of another instance."""
        match request:
            case peer_messages.Settle():
                self._settle(request)
                return peer_messages.Granted()
            case peer_messages.Transfer(program, tokens):
                self._ledger.deposit(program, tokens)
                return peer_messages.Granted()
            case peer_messages.HandOver(program, requester):
                self._ledger.renounce_credit(
                    program, self._is_only_creditor(program)
                )
                _add_bounded(self._reserved_elsewhere, program)
                if self._ledger.has_unconfirmed_writes(program):
                    return self._confirm_and_release(program, requester)
                return self._transfers.release(program, requester)
            case peer_messages.Reserve(program, _, turn, need):
                if self._is_closed or (program, turn) in self._ended_turns:
                    return peer_messages.Unavailable(False)
                if self._ledger.try_reserve(program, turn, need):
                    self._top_up(request)
                    return self._make_granted(request)
                if self.is_leaving and self._membership.list_eligible():
                    return peer_messages.Unavailable(False)
                if self._ledger.is_store_unreachable:
                    if self._give_credit(request):
                        return self._make_granted(request)
                    return peer_messages.Unavailable(True)
                return self._reserve_for_peer(request)

    async def _confirm_and_release(
        self, program: str, requester: str
    ) -> peer_messages.Response:
        """Hand over tokens after confirming this instance's writes."""
        try:
            await self._ledger.confirm_writes(program)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        return self._transfers.release(program, requester)

    async def _reserve_for_peer(
        self, request: peer_messages.Reserve
    ) -> peer_messages.Response:
        deadline = self._timers.now() + COORDINATOR_TIMEOUT_SECONDS
        try:
            outcome = await self._reserve_from_store(request, deadline)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        if outcome is ledger_module.Outcome.SPENT:
            return peer_messages.BudgetExhausted()
        if (request.program, request.turn) in self._ended_turns:
            # The requesting instance has timed out and settled the turn.
            self._ledger.settle(request.program, request.turn, 0)
            return peer_messages.Unavailable(False)
        return self._make_granted(request)
