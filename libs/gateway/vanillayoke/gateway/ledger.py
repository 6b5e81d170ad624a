"""Grants of program budgets, kept in the store by compare-and-set."""

import asyncio
import collections
import enum
import typing

import msgspec

from vanillayoke.core import timers
from vanillayoke.gateway import accounts
from vanillayoke.gateway import messages
from vanillayoke.gateway import parts
from vanillayoke.gateway import retries
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import grants

TABLE = 'budgets'
# Accounts of programs that asked for nothing for so long are dropped; what
# they had left stays counted as granted. Longer than programs pause. Seconds.
IDLE_ACCOUNT = 120.0
# The most conflicts in a row over one program's row before the caller is
# told that the store is busy: each one is another instance's success.
MOST_CONFLICTS = 20
# No row ever has this version: expecting it returns the row as it is.
NEVER_VERSION = 2**53 - 1


# For how long a turn that finds no room waits for others of its program that
# have reserved some: most turns of sub-agents take less. Seconds.
SETTLEMENT_PATIENCE = 1.0
# How long the store is asked what became of a row. Seconds.
DOUBT_PATIENCE = 0.5
# How long a grant that no turn waits for is tried for. Seconds.
TOP_UP_PATIENCE = 2.0


class Outcome(enum.IntEnum):
    """How a reservation ended."""

    GRANTED = 0
    SPENT = 1


_DECODER = msgspec.msgpack.Decoder(grants.BudgetRow)
_ENCODER = msgspec.msgpack.Encoder()


class Ledger:
    """What this instance may let programs generate."""

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
        make_name: typing.Callable[[], str],
        on_decision: typing.Callable[[accounts.Decision], None],
    ) -> None:
        self._instance = instance
        self._store = store
        self._timers = timer_service
        self._make_name = make_name
        self._on_decision = on_decision
        self._accounts: collections.OrderedDict[str, accounts.Account] = (
            collections.OrderedDict()
        )

    @property
    def is_closed(self) -> bool:
        """Whether no grant can be had from the store now."""
        return self._store.is_unreachable

    @property
    def is_away(self) -> bool:
        """Whether the store does not answer this instance."""
        return self._store.is_unavailable

    def reserve_now(self, program: str, turn: str, need: int) -> bool:
        """Reserve from what was granted before; say if that was enough."""
        account = self._accounts.get(program)
        return account is not None and account.purse.reserve(turn, need)

    async def reserve(
        self,
        program: str,
        budget: int,
        turn: str,
        need: int,
        until: float,
        extra: int = 0,
    ) -> Outcome:
        """Reserve the most that a turn may generate.

        ``extra`` tokens beyond the budget may be granted for it. Raise
        ``StoreError`` if the store can't be asked until then.
        """
        account = self._open(program)
        patience = min(until, self._timers.now() + SETTLEMENT_PATIENCE)
        while True:
            settlement = account.settlement
            async with account.lock:
                outcome = await self._reserve(
                    account, program, budget, turn, need, until, extra
                )
            if outcome is Outcome.GRANTED or not account.purse.reserved:
                return outcome
            if not await self._wait_for(settlement, patience):
                return outcome

    async def _reserve(
        self,
        account: accounts.Account,
        program: str,
        budget: int,
        turn: str,
        need: int,
        until: float,
        extra: int,
    ) -> Outcome:
        for _ in range(MOST_CONFLICTS):
            if account.purse.reserve(turn, need):
                return Outcome.GRANTED
            missing = need - account.purse.free
            if await self._grow(
                account, program, budget, missing, until, extra
            ):
                continue
            if account.is_fresh:
                return Outcome.SPENT
            await self._refresh(account, program, until)
        raise store_module.StoreRefusedError('too many conflicts')

    async def _wait_for(self, settlement: asyncio.Event, until: float) -> bool:
        """Wait for a turn to end; say whether one did in time.

        A turn reserves the most that it may generate, and most need a part
        of it: what another one has reserved is not spent yet.
        """
        left = until - self._timers.now()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await settlement.wait()
        except TimeoutError:
            return False
        return True

    def list_holders(self, program: str) -> tuple[tuple[str, str], ...]:
        """Return who was granted tokens, with the writers of their rows."""
        account = self._accounts.get(program)
        if account is None or account.row is None:
            return ()
        return account.row.holders

    def is_in_doubt(self, program: str) -> bool:
        """Say whether a row of this instance may be in the store or not."""
        account = self._accounts.get(program)
        return account is not None and bool(account.doubted)

    async def clear_doubt(self, program: str) -> None:
        """Find out which rows of this instance are in the store."""
        account = self._open(program)
        until = self._timers.now() + DOUBT_PATIENCE
        async with account.lock:
            await self._refresh(account, program, until)

    def note_refused(
        self, program: str, budget: int, turn: str, need: int
    ) -> None:
        """Tell what a turn is refused by."""
        account = self._open(program)
        row, purse = account.row, account.purse
        age = 0.0 if row is None else self._timers.wall() - row.time
        self._on_decision(
            accounts.Refused(
                program,
                turn,
                budget,
                need,
                account.known,
                account.received,
                purse.free,
                purse.reserved,
                purse.turns,
                account.owed,
                account.charged,
                age,
            )
        )

    def give_credit(
        self, program: str, budget: int, turn: str, need: int
    ) -> int:
        """Reserve on credit, for a home that is sure to be the only one.

        Return the tokens given; 0 if the credit does not hold the turn.
        """
        account = self._open(program)
        missing = max(0, need - account.purse.free)
        tokens = grants.plan_credit(
            budget, account.known_at_most, account.owed, missing
        )
        if tokens < missing or account.is_spent:
            return 0
        account.owed += tokens
        account.budget = budget
        account.purse.add(tokens)
        return tokens if account.purse.reserve(turn, need) else 0

    def charge(self, program: str, budget: int, most: int) -> None:
        """Count what a home before this one may have given on credit."""
        account = self._open(program)
        tokens = grants.find_charge(budget, most)
        account.owed += tokens
        account.charged += tokens
        account.budget = budget

    def list_owing(self) -> list[str]:
        """Return the programs with credit that the store does not know of."""
        return [
            program
            for program, account in self._accounts.items()
            if account.owed and not account.lock.locked()
        ]

    async def record_credit(self, program: str) -> None:
        """Write down what was given on credit."""
        account = self._open(program)
        until = self._timers.now() + TOP_UP_PATIENCE
        async with account.lock:
            for _ in range(MOST_CONFLICTS):
                owed = account.owed
                if not owed:
                    return
                row = grants.BudgetRow(
                    account.budget,
                    account.known + owed,
                    self._make_name(),
                    self._timers.wall(),
                    self.list_holders(program),
                )
                added = accounts.Written(0, owed)
                try:
                    await self._write(account, program, row, until, added)
                except store_module.StoreError:
                    # Tried again at the next round.
                    return

    def needs_more(self, program: str, need: int) -> bool:
        """Say whether another turn like the last would not fit."""
        account = self._accounts.get(program)
        return (
            account is not None
            and account.purse.free < need
            and not account.lock.locked()
            and not account.is_spent
        )

    async def top_up(self, program: str, budget: int, need: int) -> None:
        """Get the next grant before a turn has to wait for it."""
        account = self._open(program)
        until = self._timers.now() + TOP_UP_PATIENCE
        async with account.lock:
            missing = need - account.purse.free
            if missing <= 0:
                return
            try:
                if not await self._grow(
                    account, program, budget, missing, until
                ):
                    account.is_spent = account.is_fresh
            except store_module.StoreError:
                # The turn that needs it will ask again.
                return

    def has_account(self, program: str) -> bool:
        """Say whether this instance keeps anything of a program."""
        return program in self._accounts

    def deposit(self, program: str, tokens: int) -> None:
        """Take over what another instance was granted."""
        account = self._open(program)
        account.received += tokens
        account.purse.add(tokens)

    def withdraw(self, program: str) -> int:
        """Give up what is not reserved, for another instance."""
        account = self._accounts.get(program)
        if account is None:
            return 0
        free = account.purse.take_free()
        # What was given on credit is not handed on, but paid back.
        kept = min(free, account.owed)
        account.owed -= kept
        account.received -= free - kept
        return free - kept

    def list_programs(self) -> list[str]:
        """Return the programs that something is free for."""
        return [
            program
            for program, account in self._accounts.items()
            if account.purse.free > 0
        ]

    def settle(self, program: str, turn: str, used: int) -> bool:
        """End a turn that generated ``used`` tokens.

        Return whether anything was reserved for it.
        """
        account = self._accounts.get(program)
        if account is None:
            return False
        account.settlement.set()
        account.settlement = asyncio.Event()
        return account.purse.settle(turn, used)

    def prune(self) -> None:
        """Drop the accounts of programs that have gone quiet."""
        limit = self._timers.now() - IDLE_ACCOUNT
        while self._accounts:
            program, account = next(iter(self._accounts.items()))
            if account.used_at > limit or account.lock.locked():
                return
            del self._accounts[program]

    async def give_back(self, until: float) -> int:
        """Return what was granted and is not reserved; count the programs.

        A store that fails meanwhile keeps the rest counted as granted, and so
        does an account that something else is at work on for too long: the
        process would outlive the time that its stop may take.
        """
        returned = 0
        try:
            async with asyncio.timeout(max(0.0, until - self._timers.now())):
                for program, account in list(self._accounts.items()):
                    if account.purse.free > 0:
                        async with account.lock:
                            returned += await self._return(
                                account, program, until
                            )
        except (TimeoutError, store_module.StoreError):
            return returned
        return returned

    def _open(self, program: str) -> accounts.Account:
        account = self._accounts.get(program)
        if account is None:
            account = self._accounts[program] = accounts.Account()
        account.used_at = self._timers.now()
        self._accounts.move_to_end(program)
        return account

    async def _grow(
        self,
        account: accounts.Account,
        program: str,
        budget: int,
        missing: int,
        until: float,
        extra: int = 0,
    ) -> bool:
        """Try to get a grant; ``False`` if the known row has no room."""
        writer, now = self._make_name(), self._timers.wall()
        owed = account.owed
        row = account.row
        if owed:
            holders = self.list_holders(program)
            row = grants.BudgetRow(
                budget, account.known + owed, writer, now, holders
            )
        grant = grants.plan_grant(row, budget, missing, writer, now, extra)
        if grant is None:
            return False
        row = grant.row.add_holder(self._instance)
        added = accounts.Written(grant.tokens, owed)
        await self._write(account, program, row, until, added)
        return True

    async def _return(
        self, account: accounts.Account, program: str, until: float
    ) -> bool:
        """Give the free tokens back, by one write.

        It is not made again on another instance's row: if the first one took
        effect and its answer was lost, the tokens would be given twice.
        """
        await self._refresh(account, program, until)
        if account.row is None:
            return False
        tokens = account.purse.take_free()
        row = grants.plan_return(
            account.row,
            tokens - account.owed,
            self._make_name(),
            self._timers.wall(),
        )
        return await self._write(account, program, row, until)

    async def _write(
        self,
        account: accounts.Account,
        program: str,
        row: grants.BudgetRow,
        until: float,
        added: accounts.Written = accounts.NOTHING,
    ) -> bool:
        """Write a row if the known one is still there; say if it was.

        A write whose answer is lost may take effect: what it adds is taken
        as soon as the row shows that it did.
        """
        account.doubted[row.writer] = added
        where = self._locate(program)
        transaction = messages.Transaction(
            ((where, account.version),), ((where, _ENCODER.encode(row)),)
        )
        # Whatever happens now, the row we know may be the one before.
        account.is_fresh = False
        outcome = await retries.commit(
            self._store, transaction, until, self._timers
        )
        if isinstance(outcome, messages.Committed):
            account.take_row(self._instance, row, outcome.version)
            return True
        self._take(account, program, outcome.rows)
        # An earlier try whose answer was lost may have written it.
        return account.row is not None and account.row.writer == row.writer

    async def _refresh(
        self, account: accounts.Account, program: str, until: float
    ) -> None:
        where = self._locate(program)
        # A transaction that changes nothing reads what is committed, where
        # a plain read may lag behind.
        check = messages.Transaction(((where, NEVER_VERSION),))
        outcome = await retries.commit(self._store, check, until, self._timers)
        rows = outcome.rows if isinstance(outcome, messages.Conflict) else ()
        self._take(account, program, rows)

    def _take(
        self,
        account: accounts.Account,
        program: str,
        rows: tuple[messages.Row, ...],
    ) -> None:
        decoded, version = None, 0
        for row in rows:
            try:
                decoded = _DECODER.decode(row.value)
            except msgspec.DecodeError as error:
                raise store_module.StoreOutcomeUnknownError(
                    f'budget row {row.where.key}: {error}'
                ) from error
            version = row.version
        account.take_row(self._instance, decoded, version)
        if decoded is not None and not account.received:
            taken = accounts.TakenOver(
                program, decoded.granted, decoded.budget
            )
            self._on_decision(taken)

    def _locate(self, program: str) -> messages.RowKey:
        return messages.RowKey(TABLE, parts.find_part(program), program)
