"""Each program's budget is kept by one instance, its home, while it can be.

The home is the live instance with the highest rendezvous score. All turns of
a program reserve there, so one grant of the store serves many turns and most
turns need no call to the store. Nothing depends on instances agreeing about
the home: two that both grant have grants of their own.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import background
from vanillayoke.gateway import clocks
from vanillayoke.gateway import holders
from vanillayoke.gateway import home_calls
from vanillayoke.gateway import homes_ranking
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import tenure as tenure_module
from vanillayoke.scheduling import outlook

# The longest that a home waits for the store on behalf of another instance.
# Seconds.
HOME_PATIENCE = 2.5
# For how long an instance that has joined asks former homes. Programs that
# were under way then have ended or come here since. Seconds.
NEWCOMER = 20.0
# How long a turn waits for a grant before it goes on credit. The store
# answers within some ten milliseconds when it is well. Seconds.
CREDIT_PATIENCE = 0.1
# Credits written down at once when the store is back, and in each round of
# the upkeep: a few programs begin on credit at each home, and all homes write
# in the same moment.
MOST_CREDITS = 10
# How often what others hold is collected for one turn: fragments come from
# several holders, mostly at once.
MOST_COLLECTIONS = 4
# How many turns that are over, and programs that others have a part in, are
# remembered: some ten a second come to one home, and programs last seconds.
MOST_REMEMBERED = 2000
# How often a home checks that it runs; a gap shows that it did not. Seconds.
TICK = 0.25


class Reservation(typing.NamedTuple):
    """How a reservation ended.

    ``keeper`` is the address of who made it, '' for this instance;
    ``target`` has most of the prompt in its memory, if that is known.
    """

    is_granted: bool
    keeper: str
    slack: outlook.Slack | None
    target: str | None = None


def _remember(
    known: collections.OrderedDict[typing.Any, None], key: typing.Any
) -> None:
    """Remember a key, and forget the oldest one beyond the bound."""
    known[key] = None
    known.move_to_end(key)
    if len(known) > MOST_REMEMBERED:
        known.popitem(last=False)


class Homes:
    """Reserves and settles with the home of each program."""

    def __init__(
        self,
        instance: str,
        ledger: ledger_module.Ledger,
        roster: homes_ranking.Roster,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        tenure: tenure_module.Tenure,
        on_credit: typing.Callable[[str, str, int], None],
    ) -> None:
        self._instance = instance
        self._tenure = tenure
        self._on_credit = on_credit
        self._ledger = ledger
        self._roster = roster
        self._timers = timer_service
        self._spawn = spawn
        self._began = timer_service.now()
        self._clocks = clocks.Clocks()
        self._holders = holders.Holders(
            instance,
            ledger,
            roster,
            timer_service,
            spawn,
        )
        self._calls = home_calls.HomeCalls(roster, timer_service, spawn)
        self.is_leaving = False
        # Turns that are over, by program. The question to reserve for one may
        # still come, late or a second time, and nobody would settle it again.
        self._ended: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        # Programs that came here behind trouble of the store: the home before
        # may have given them credit.
        self._uncharged: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Programs that others have reserved for while this was their home.
        self._shared: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def use(self, peers: peers_module.Peers) -> None:
        """Ask other instances through this from now on."""
        self._calls.use(peers)
        self._holders.use(peers)

    async def hand_over(self) -> int:
        """Give what was granted here to the programs' next homes.

        For an instance that stops; no call to the store is needed. Returns
        the number of programs.
        """
        return await self._holders.hand_over()

    def reserve_here(
        self, question: peer_messages.Reserve
    ) -> Reservation | None:
        """Reserve from what this instance was granted; ``None`` if too little.

        It was granted as the program's home or in place of it.
        """
        self._tenure.note_program()
        self._charge(question)
        if not self._ledger.reserve_now(
            question.program, question.turn, question.need
        ):
            return None
        self._top_up(question)
        return self._make_reservation(question)

    async def reserve(
        self, question: peer_messages.Reserve, until: float
    ) -> Reservation:
        """Reserve the most of a turn with its program's home.

        Raise ``StoreError`` if nobody could say.
        """
        found = self.reserve_here(question)
        if found is not None:
            return found
        for home in self._calls.list_homes(question.program):
            if home.instance == self._instance:
                break
            answer = await self._calls.reserve(home, question, until)
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
        outcome = await self._reserve_apart(question, until)
        is_granted = outcome is ledger_module.Outcome.GRANTED
        return self._make_reservation(question)._replace(is_granted=is_granted)

    async def _reserve_apart(
        self, question: peer_messages.Reserve, until: float
    ) -> ledger_module.Outcome:
        """Reserve in a task that goes on if the caller leaves.

        A row may be written by then, and what it grants must be taken.
        """
        work = asyncio.ensure_future(self._reserve_from_store(question, until))
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
        """Tell the keeper of a reservation that its turn is over."""
        if not address:
            self._settle(question)
            return
        await self._calls.settle(address, question)

    def prune(self) -> None:
        """Forget what has ended."""
        self._ledger.prune()
        self.record_credit()
        self._clocks.prune(self._timers.now())

    def record_credit(self) -> None:
        """Write down what was given on credit, if the store answers.

        A home that died before would leave nobody who knows.
        """
        if self._ledger.is_away:
            return
        for program in self._ledger.list_owing()[:MOST_CREDITS]:
            self._spawn(self._ledger.record_credit(program))

    async def _reserve_from_store(
        self, question: peer_messages.Reserve, until: float
    ) -> ledger_module.Outcome:
        if self._timers.now() - self._began < NEWCOMER:
            await self._holders.ask_former_home(question.program)
        is_sure = self._is_sure(question.program)
        if is_sure and question.allow_credit:
            if await self._reserve_soon(question):
                return ledger_module.Outcome.GRANTED
        extra = 0
        if not is_sure:
            extra = self._allow_for_predecessor(question)
        outcome = await self._reserve_in_ledger(question, until, extra)
        if outcome is ledger_module.Outcome.SPENT:
            outcome = await self._reserve_from_others(question, until, extra)
        if outcome is ledger_module.Outcome.SPENT:
            self._ledger.note_refused(
                question.program,
                question.budget,
                question.turn,
                question.need,
            )
        self._top_up(question)
        return outcome

    async def _reserve_from_others(
        self, question: peer_messages.Reserve, until: float, extra: int
    ) -> ledger_module.Outcome:
        """Reserve once others have handed over what they hold.

        Two homes that both lack a little would take it from each other for as
        long as their callers wait: after a few rounds the turn comes again.
        """
        for _ in range(MOST_COLLECTIONS):
            if not await self._holders.collect(question.program, until):
                # Turns may have ended while the others were asked.
                if self._ledger.reserve_now(
                    question.program, question.turn, question.need
                ):
                    return ledger_module.Outcome.GRANTED
                return ledger_module.Outcome.SPENT
            outcome = await self._reserve_in_ledger(question, until, extra)
            if outcome is ledger_module.Outcome.GRANTED:
                return outcome
        raise store_module.StoreRefusedError(
            'other instances need the rest of the budget'
        )

    async def _reserve_in_ledger(
        self, question: peer_messages.Reserve, until: float, extra: int
    ) -> ledger_module.Outcome:
        return await self._ledger.reserve(
            question.program,
            question.budget,
            question.turn,
            question.need,
            until,
            extra,
        )

    def _allow_for_predecessor(self, question: peer_messages.Reserve) -> int:
        """Allow for what a home before this one may have taken with it.

        What it may have given on credit is counted as granted. Return the
        tokens that may be granted beyond the budget: the most of one turn.
        """
        is_new = not self._ledger.has_account(question.program)
        now = self._timers.now()
        if is_new and self._tenure.may_have_been_trouble(now):
            _remember(self._uncharged, question.program)
        self._charge(question)
        return question.need

    def _charge(self, question: peer_messages.Reserve) -> None:
        """Count what the home before may have given, once it matters.

        Turns that are kept get no credit. Charged for it, a new program of
        theirs is told "spent" before its first turn once a home or two died.
        """
        if question.allow_credit and question.program in self._uncharged:
            del self._uncharged[question.program]
            self._ledger.charge(
                question.program, question.budget, question.need
            )

    async def _reserve_soon(self, question: peer_messages.Reserve) -> bool:
        """Reserve from the store if it answers soon, else on credit."""
        asked = background.start(
            self._ledger.top_up(
                question.program, question.budget, question.need
            ),
            self._spawn,
        )
        await asyncio.wait((asked,), timeout=CREDIT_PATIENCE)
        if self._ledger.reserve_now(
            question.program, question.turn, question.need
        ):
            return True
        if asked.done() and not self._ledger.is_closed:
            # The store has answered: the budget may be spent.
            return False
        return self._give_credit(question)

    def _give_credit(self, question: peer_messages.Reserve) -> bool:
        """Let a turn begin without the store, if that can't be too much."""
        if not question.allow_credit or not self._is_sure(question.program):
            return False
        tokens = self._ledger.give_credit(
            question.program, question.budget, question.turn, question.need
        )
        if tokens:
            self._on_credit(question.program, question.turn, tokens)
        return bool(tokens)

    def _is_sure(self, program: str) -> bool:
        """Whether no other instance can have granted to the program."""
        if self.is_leaving or program in self._shared:
            return False
        now = self._timers.now()
        members = self._roster.list_homes()
        self._tenure.note_members((one.instance for one in members), now)
        home = homes_ranking.find_home(program, members)
        if home is None or home.instance != self._instance:
            return False
        return self._tenure.covers(program, now, self._timers.wall(), TICK)

    def _top_up(self, question: peer_messages.Reserve) -> None:
        if self._ledger.needs_more(question.program, question.need):
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
        self._clocks.lose(
            question.program,
            question.session,
            question.delay,
            self._timers.now(),
        )
        if question.target is not None:
            self._clocks.place(
                question.program, question.session, question.target
            )

    def _arrive(self, question: peer_messages.Reserve) -> outlook.Slack | None:
        if question.time_left is None:
            return None
        return self._clocks.arrive(
            question.program,
            question.session,
            question.route,
            question.time_left,
            self._timers.now(),
        )

    def _make_reservation(
        self, question: peer_messages.Reserve
    ) -> Reservation:
        """Return a reservation made here."""
        granted = self._grant(question)
        return Reservation(True, '', granted.slack, granted.target)

    def _grant(self, question: peer_messages.Reserve) -> peer_messages.Granted:
        target = self._clocks.find_target(question.program, question.session)
        return peer_messages.Granted(self._arrive(question), target)

    def answer(
        self, question: peer_messages.Request
    ) -> (
        peer_messages.Response
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.Response]
    ):
        """Answer another instance."""
        match question:
            case peer_messages.Settle():
                self._settle(question)
                return peer_messages.Granted()
            case peer_messages.Transfer(program, tokens):
                self._ledger.deposit(program, tokens)
                return peer_messages.Granted()
            case peer_messages.HandOver(program, asker):
                _remember(self._shared, program)
                if self._ledger.is_in_doubt(program):
                    return self._give_up_sure(program, asker)
                return self._holders.give_up(program, asker)
            case peer_messages.Reserve(program, _, turn, need):
                if (program, turn) in self._ended:
                    return peer_messages.Unavailable(False)
                self._charge(question)
                if self._ledger.reserve_now(program, turn, need):
                    self._top_up(question)
                    return self._grant(question)
                if self.is_leaving and self._roster.list_homes():
                    return peer_messages.Unavailable(False)
                if self._ledger.is_closed:
                    if self._give_credit(question):
                        return self._grant(question)
                    return peer_messages.Unavailable(True)
                return self._reserve_for_other(question)

    async def _give_up_sure(
        self, program: str, asker: str
    ) -> peer_messages.Response:
        """Hand over, once it is known what this instance was granted."""
        try:
            await self._ledger.clear_doubt(program)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        return self._holders.give_up(program, asker)

    async def _reserve_for_other(
        self, question: peer_messages.Reserve
    ) -> peer_messages.Response:
        until = self._timers.now() + HOME_PATIENCE
        try:
            outcome = await self._reserve_from_store(question, until)
        except store_module.StoreError:
            return peer_messages.Unavailable(True)
        if outcome is ledger_module.Outcome.SPENT:
            return peer_messages.BudgetExhausted()
        if (question.program, question.turn) in self._ended:
            # The asker has given up meanwhile, and settled it.
            self._ledger.settle(question.program, question.turn, 0)
            return peer_messages.Unavailable(False)
        return self._grant(question)
