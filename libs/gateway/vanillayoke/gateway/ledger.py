"""Grants of program budgets, recorded in the store by compare-and-set."""

import asyncio
import collections
import enum
import itertools
import typing

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import timers
from vanillayoke.gateway import budget_accounts
from vanillayoke.gateway import credit_promises
from vanillayoke.gateway import messages
from vanillayoke.gateway import partitions
from vanillayoke.gateway import retention as retention_module
from vanillayoke.gateway import retries
from vanillayoke.gateway import store as store_module
from vanillayoke.programs import grants

TABLE = 'budgets'
# Accounts of programs idle for longer are dropped; the tokens left in them
# stay counted as granted. Programs pause for
# less than this.
ACCOUNT_IDLE_SECONDS = 120.0
# Consecutive conflicts on a program's row before the caller gets an error.
# Each one is a successful write of another instance.
MAX_CONFLICTS = 20
# No row ever has this version: expecting it returns the current row.
NEVER_VERSION = 2**53 - 1
# How long a turn that does not fit waits for the program's other turns to
# release tokens that they have reserved. Most turns of sub-agents take less.
SETTLEMENT_TIMEOUT_SECONDS = 1.0
# How long the store is asked which writes took effect.
CONFIRM_TIMEOUT_SECONDS = 0.5
# For writes that no turn waits for.
TOP_UP_TIMEOUT_SECONDS = 2.0


class Terms(typing.NamedTuple):
    """On what terms tokens of a program are granted.

    ``is_only_coordinator`` says that no other instance can have given credit,
    ``allow_credit`` that turns like this one may get credit.
    """

    is_only_coordinator: bool = True
    allow_credit: bool = True


_DEFAULT_TERMS = Terms()


class Outcome(enum.IntEnum):
    """The outcome of a reservation in the ledger."""

    GRANTED = 0
    SPENT = 1


_DECODER: decoding.Decoder[grants.BudgetRow] = decoding.Decoder.for_msgpack(
    grants.BudgetRow
)
_ENCODER = msgspec.msgpack.Encoder()


class Ledger:
    """Tokens that this instance may let programs generate."""

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
        make_write_id: typing.Callable[[], str],
        on_decision: typing.Callable[[budget_accounts.Decision], None],
        get_retention: typing.Callable[[], retention_module.Retention],
    ) -> None:
        self._get_retention = get_retention
        self._instance = instance
        self._store = store
        self._timers = timer_service
        self._make_write_id = make_write_id
        self._on_decision = on_decision
        self._promises = credit_promises.CreditPromises(
            f'{instance}/{make_write_id()}', timer_service
        )
        self._accounts: collections.OrderedDict[
            str, budget_accounts.Account
        ] = collections.OrderedDict()

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the store can't be reached directly or through a relay."""
        return self._store.is_unreachable

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the store does not respond to this instance."""
        return self._store.is_unavailable

    def try_reserve(self, program: str, turn: str, need: int) -> bool:
        """Reserve from tokens already granted; return whether they suffice."""
        account = self._accounts.get(program)
        if account is None or not account.allotment.reserve(turn, need):
            return False
        self._record_use(program, account)
        return True

    async def reserve(
        self,
        program: str,
        budget: int,
        turn: str,
        need: int,
        deadline: float,
        terms: Terms = _DEFAULT_TERMS,
    ) -> Outcome:
        """Reserve the maximum number of tokens that a turn may generate.

        Raise ``StoreError`` if the store can't be reached before the deadline.
        """
        account = self._open_account(program)
        settlement_deadline = min(
            deadline, self._timers.now() + SETTLEMENT_TIMEOUT_SECONDS
        )
        while True:
            turn_ended = account.turn_ended
            async with account.lock:
                outcome = await self._reserve(
                    account, program, budget, turn, need, deadline, terms
                )
            if outcome is Outcome.GRANTED or not account.allotment.reserved:
                return outcome
            if not await self._wait_for_settlement(
                turn_ended, settlement_deadline
            ):
                return outcome

    async def reserve_from_row(
        self,
        program: str,
        budget: int,
        turn: str,
        need: int,
        deadline: float,
        terms: Terms,
        searched_at: float,
    ) -> Outcome:
        """Reserve from the row after a search for tokens found none.

        A stopping instance may have returned tokens to the row instead, so
        the row is read again unless it was since ``searched_at``. Do not wait
        for the program's other turns. Raise ``StoreError`` as ``reserve``.
        """
        account = self._open_account(program)
        async with account.lock:
            return await self._reserve(
                account,
                program,
                budget,
                turn,
                need,
                deadline,
                terms,
                searched_at,
            )

    async def _reserve(
        self,
        account: budget_accounts.Account,
        program: str,
        budget: int,
        turn: str,
        need: int,
        deadline: float,
        terms: Terms,
        current_since: float = float('-inf'),
    ) -> Outcome:
        for _ in range(MAX_CONFLICTS):
            if account.allotment.reserve(turn, need):
                return Outcome.GRANTED
            extra = self._compute_extra(account, budget, need, terms)
            if await self._request_grant(
                account, program, budget, need, deadline, terms, extra
            ):
                continue
            if account.is_current_since(current_since):
                return Outcome.SPENT
            await self._refresh(account, program, deadline)
        raise store_module.StoreRefusedError(
            'too many conflicting writes of the budget row'
        )

    async def _wait_for_settlement(
        self, turn_ended: asyncio.Event, deadline: float
    ) -> bool:
        """Wait for a turn to end; return whether one did in time.

        A turn reserves the maximum that it may generate and usually uses
        less, so tokens become free when another turn is settled.
        """
        remaining = deadline - self._timers.now()
        if remaining <= 0:
            return False
        try:
            async with asyncio.timeout(remaining):
                await turn_ended.wait()
        except TimeoutError:
            return False
        return True

    def list_holders(self, program: str) -> tuple[tuple[str, str], ...]:
        """Return the instances granted tokens, with their last write ids."""
        account = self._accounts.get(program)
        if account is None or account.row is None:
            return ()
        return account.row.holders

    def has_unconfirmed_writes(self, program: str) -> bool:
        """Return whether the outcome of a write to the row is unknown."""
        account = self._accounts.get(program)
        return account is not None and bool(account.unconfirmed)

    async def confirm_writes(self, program: str) -> None:
        """Find out which writes of this instance took effect."""
        account = self._open_account(program)
        deadline = self._timers.now() + CONFIRM_TIMEOUT_SECONDS
        async with account.lock:
            await self._refresh(account, program, deadline)

    def report_refusal(
        self, program: str, budget: int, turn: str, need: int
    ) -> None:
        """Report the state of the account that a turn was refused by."""
        account = self._open_account(program)
        row, allotment = account.row, account.allotment
        age = 0.0 if row is None else self._timers.wall() - row.time
        self._on_decision(
            budget_accounts.Refused(
                program,
                turn,
                budget,
                need,
                account.granted,
                account.received,
                allotment.free,
                allotment.reserved,
                allotment.turn_count,
                account.owed,
                account.creditor,
                age,
            )
        )

    def reserve_on_credit(
        self, program: str, budget: int, turn: str, need: int
    ) -> int:
        """Reserve on credit, for a coordinator known to be the only one.

        Return the tokens given; 0 if the credit limit does not allow them.
        """
        account = self._open_account(program)
        if not self._may_give_credit(account, program):
            return 0
        missing = max(0, need - account.allotment.free)
        # Tokens that others returned since this instance wrote the row do not
        # raise what is kept back for it.
        granted = max(account.max_granted, account.credit_base)
        tokens = grants.plan_credit(budget, granted, account.owed, missing)
        if tokens < missing:
            return 0
        account.owed += tokens
        account.budget = budget
        account.allotment.add(tokens)
        if tokens:
            self._report(
                account,
                program,
                budget_accounts.Change.CREDIT,
                tokens,
                need,
                turn,
            )
        return tokens if account.allotment.reserve(turn, need) else 0

    def renounce_credit(self, program: str, is_only_coordinator: bool) -> None:
        """Give a program no more credit, as another instance grants tokens.

        ``is_only_coordinator`` says that no other instance can have given
        credit until now.
        """
        self._promises.add(program, is_only_coordinator)

    def make_credit_statement(
        self, program: str
    ) -> credit_promises.Statement | None:
        """Return what others may rely on; ``None`` if credit may follow."""
        account = self._accounts.get(program)
        if account is not None and account.owed > 0:
            return None
        return self._promises.make_statement(program)

    def settle_credit(
        self, program: str, statement: credit_promises.Statement
    ) -> None:
        """Record another instance's statement about its credit."""
        account = self._open_account(program)
        account.settled_creditors.add(statement.creditor)
        if statement.was_only_coordinator:
            account.settled_creditors.add(grants.UNKNOWN_CREDITOR)

    def is_credit_settled(self, program: str) -> bool:
        """Return whether the row counts all credit given to a program."""
        account = self._accounts.get(program)
        return account is not None and not account.may_owe_credit(True)

    def list_owing(self) -> list[str]:
        """Return the programs with credit not yet recorded in the store."""
        return [
            program
            for program, account in self._accounts.items()
            if account.owed and not account.lock.locked()
        ]

    async def record_credit(
        self, program: str, terms: Terms = _DEFAULT_TERMS
    ) -> None:
        """Record in the store what was given on credit."""
        account = self._open_account(program)
        deadline = self._timers.now() + TOP_UP_TIMEOUT_SECONDS
        async with account.lock:
            for _ in range(MAX_CONFLICTS):
                owed = account.owed
                if not owed:
                    return
                holders = self.list_holders(program)
                if any(name != self._instance for name, _ in holders):
                    # Others coordinate the program and may need what is kept
                    # back for credit.
                    account.has_renounced_credit = True
                row = account.make_row(
                    account.budget,
                    owed,
                    self._make_write_id(),
                    self._timers.wall(),
                )
                row = self._name_creditor(account, row, terms)
                effect = budget_accounts.WriteEffect(0, owed)
                try:
                    await self._write(account, program, row, deadline, effect)
                except store_module.StoreError:
                    # The next maintenance run tries again.
                    return

    def needs_top_up(self, program: str, budget: int, need: int) -> bool:
        """Return whether another turn of this size needs a grant.

        ``False`` if the last known row has no room for one.
        """
        account = self._accounts.get(program)
        if account is None or account.lock.locked():
            return False
        missing = need - account.allotment.free
        # Whether this instance is the only coordinator takes longer to find
        # out than to keep back too much in a few cases.
        terms = Terms(is_only_coordinator=False)
        extra = min(0, self._compute_extra(account, budget, need, terms))
        return 0 < missing <= budget + extra - account.granted - account.owed

    async def top_up(
        self,
        program: str,
        budget: int,
        need: int,
        terms: Terms = _DEFAULT_TERMS,
    ) -> None:
        """Request the next grant before a turn has to wait for it."""
        account = self._open_account(program)
        deadline = self._timers.now() + TOP_UP_TIMEOUT_SECONDS
        async with account.lock:
            if need <= account.allotment.free:
                return
            extra = min(0, self._compute_extra(account, budget, need, terms))
            try:
                await self._request_grant(
                    account, program, budget, need, deadline, terms, extra
                )
            except store_module.StoreError:
                # The next turn requests the grant itself.
                return

    def needs_renewal(self, program: str) -> bool:
        """Return whether a running program's row has to be written again.

        Rows are removed by age, and a program may run on its last grant for
        longer; with another row it would get its budget again.
        """
        account = self._accounts.get(program)
        if account is None or account.lock.locked():
            return False
        if account.row is None:
            age = self._timers.now() - account.opened_at
        else:
            age = self._timers.wall() - account.row.time
        return age > self._get_retention().renewal_age

    async def renew(self, program: str) -> None:
        """Write a program's row again, so that it is not removed."""
        account = self._open_account(program)
        deadline = self._timers.now() + TOP_UP_TIMEOUT_SECONDS
        async with account.lock:
            try:
                if account.row is None:
                    await self._refresh(account, program, deadline)
                if account.row is None:
                    account.opened_at = self._timers.now()
                    return
                row = msgspec.structs.replace(
                    account.row,
                    write_id=self._make_write_id(),
                    time=self._timers.wall(),
                )
                await self._write(account, program, row, deadline)
            except store_module.StoreError:
                # The next turn tries again.
                return

    def has_account(self, program: str) -> bool:
        """Return whether this instance has an account of a program."""
        return program in self._accounts

    def deposit(self, program: str, tokens: int, sender: str = '') -> None:
        """Add tokens that were transferred from another instance."""
        account = self._open_account(program)
        account.received += tokens
        account.allotment.add(tokens)
        self._report(
            account,
            program,
            budget_accounts.Change.RECEIVE,
            tokens,
            reason=sender,
        )

    def withdraw(self, program: str, receiver: str = '') -> int:
        """Remove the unreserved tokens, to transfer them; return the count."""
        account = self._accounts.get(program)
        if account is None:
            return 0
        free = account.allotment.withdraw_free()
        # Tokens given on credit are paid back instead of being transferred.
        repaid = min(free, account.owed)
        account.owed -= repaid
        sent = free - repaid
        account.received -= sent
        for change, tokens in (
            (budget_accounts.Change.CREDIT_REPAID, repaid),
            (budget_accounts.Change.SEND, sent),
        ):
            if tokens:
                self._report(account, program, change, tokens, reason=receiver)
        return sent

    def list_with_free_tokens(self) -> list[str]:
        """Return the programs that have unreserved tokens here."""
        return [
            program
            for program, account in self._accounts.items()
            if account.allotment.free > 0
        ]

    def settle(self, program: str, turn: str, used: int) -> bool:
        """End a turn that generated ``used`` tokens.

        Return whether there was a reservation for it.
        """
        account = self._accounts.get(program)
        if account is None:
            return False
        account.turn_ended.set()
        account.turn_ended = asyncio.Event()
        reserved = account.allotment.reserved
        if not account.allotment.settle(turn, used):
            return False
        if not used:
            self._report(
                account,
                program,
                budget_accounts.Change.UNUSED,
                reserved - account.allotment.reserved,
                reason=turn,
            )
        return True

    def prune(self) -> None:
        """Drop the accounts of idle programs."""
        cutoff = self._timers.now() - ACCOUNT_IDLE_SECONDS
        idle = itertools.takewhile(
            lambda item: item[1].used_at <= cutoff, self._accounts.items()
        )
        for program, account in list(idle):
            # Credit that is forgotten unrecorded could be granted again.
            if not account.owed and not account.lock.locked():
                del self._accounts[program]
        self._promises.prune()

    async def return_grants(self, deadline: float) -> int:
        """Return unreserved tokens to the store; return the program count.

        If the store fails, or an account stays locked until the deadline, the
        remaining tokens stay counted as granted: the process has to end within
        its grace period.
        """
        returned_count = 0
        try:
            async with asyncio.timeout(
                max(0.0, deadline - self._timers.now())
            ):
                for program, account in list(self._accounts.items()):
                    # A grant may be on its way to a locked account.
                    if account.allotment.free > 0 or account.lock.locked():
                        async with account.lock:
                            if account.allotment.free > 0:
                                returned_count += await self._return(
                                    account, program, deadline
                                )
        except (TimeoutError, store_module.StoreError):
            return returned_count
        return returned_count

    def _open_account(self, program: str) -> budget_accounts.Account:
        account = self._accounts.get(program)
        if account is None:
            account = self._accounts[program] = budget_accounts.Account()
            account.opened_at = self._timers.now()
            # This instance counts its own credit with each write.
            account.settled_creditors.add(self._promises.creditor)
        self._record_use(program, account)
        return account

    def _record_use(
        self, program: str, account: budget_accounts.Account
    ) -> None:
        account.used_at = self._timers.now()
        self._accounts.move_to_end(program)

    async def _request_grant(
        self,
        account: budget_accounts.Account,
        program: str,
        budget: int,
        need: int,
        deadline: float,
        terms: Terms,
        extra: int,
    ) -> bool:
        """Request a grant; return ``False`` if the known row has no room.

        ``extra`` is the number of tokens that may be granted beyond the
        budget.
        """
        write_id, now = self._make_write_id(), self._timers.wall()
        missing = need - account.allotment.free
        owed = account.owed
        row = account.row
        if owed:
            row = account.make_row(budget, owed, write_id, now)
        grant = grants.plan_grant(row, budget, missing, write_id, now, extra)
        if grant is None:
            return False
        row = grant.row.add_holder(self._instance)
        row = self._name_creditor(account, row, terms)
        effect = budget_accounts.WriteEffect(grant.tokens, owed, need)
        await self._write(account, program, row, deadline, effect)
        return True

    def _name_creditor(
        self,
        account: budget_accounts.Account,
        row: grants.BudgetRow,
        terms: Terms,
    ) -> grants.BudgetRow:
        """Return a row that names who may give credit that it does not count.

        The row counts all credit that this instance has given until now.
        """
        if not terms.is_only_coordinator and account.may_owe_credit(True):
            # Others may owe credit; only they can settle that.
            return row
        if (
            terms.is_only_coordinator
            and terms.allow_credit
            and not account.has_renounced_credit
        ):
            return msgspec.structs.replace(
                row, creditor=self._promises.creditor, credit_base=row.granted
            )
        account.has_renounced_credit = True
        return msgspec.structs.replace(row, creditor=grants.NO_CREDITOR)

    def _may_give_credit(
        self, account: budget_accounts.Account, program: str
    ) -> bool:
        """Return whether the grants of others leave room for credit."""
        if account.has_renounced_credit or program in self._promises:
            return False
        return account.creditor in (
            self._promises.creditor,
            grants.UNKNOWN_CREDITOR,
        )

    def _compute_extra(
        self,
        account: budget_accounts.Account,
        budget: int,
        need: int,
        terms: Terms,
    ) -> int:
        """Return the tokens that may be granted beyond the budget.

        The only coordinator needs none: no grants are lost with another one.
        """
        if terms.is_only_coordinator:
            return 0
        may_owe_credit = account.may_owe_credit(terms.allow_credit)
        return grants.compute_extra(account.row, budget, need, may_owe_credit)

    async def _return(
        self, account: budget_accounts.Account, program: str, deadline: float
    ) -> bool:
        """Return the free tokens to the store; return whether they were.

        Repeat the write only on a row that shows that it had no effect: if
        it took effect and its response was lost, the tokens would be returned
        twice.
        """
        for _ in range(MAX_CONFLICTS):
            await self._refresh(account, program, deadline)
            previous = account.row
            if previous is None:
                return False
            tokens = account.allotment.withdraw_free()
            change = budget_accounts.Change.RETURN
            self._report(account, program, change, tokens)
            row = self._make_return(account, previous, tokens)
            effect = budget_accounts.WriteEffect(0, account.owed)
            if await self._write(account, program, row, deadline, effect):
                return True
            if not self._is_rejected(account, previous):
                return False
            account.allotment.add(tokens)
            change = budget_accounts.Change.RETURN_REJECTED
            self._report(account, program, change, tokens)
        return False

    def _make_return(
        self,
        account: budget_accounts.Account,
        previous: grants.BudgetRow,
        tokens: int,
    ) -> grants.BudgetRow:
        """Return the row to write when tokens are returned.

        It names this instance, so that later rows show whether this write took
        effect, but not in place of another holder.
        """
        row = grants.plan_return(
            previous,
            tokens - account.owed,
            self._make_write_id(),
            self._timers.wall(),
        )
        if (
            previous.find_last_write(self._instance) is not None
            or len(previous.holders) < grants.MAX_HOLDERS
        ):
            row = row.add_holder(self._instance)
        return self._name_creditor(
            account, row, Terms(is_only_coordinator=False)
        )

    def _is_rejected(
        self, account: budget_accounts.Account, previous: grants.BudgetRow
    ) -> bool:
        """Return whether a return of tokens is known to have had no effect.

        The present row would name another write of this instance than the one
        ``previous`` to it, unless others have been named in its place.
        """
        if account.unconfirmed:
            # The row was removed, or is not newer than the write expected.
            return False
        present = account.row
        last_write = present.find_last_write(self._instance)
        if last_write is None and len(present.holders) >= grants.MAX_HOLDERS:
            return False
        return last_write == previous.find_last_write(self._instance)

    async def _write(
        self,
        account: budget_accounts.Account,
        program: str,
        row: grants.BudgetRow,
        deadline: float,
        effect: budget_accounts.WriteEffect = budget_accounts.NO_EFFECT,
    ) -> bool:
        """Write a row if its version is unchanged; return whether it was.

        A write whose response is lost may still take effect. Its tokens are
        added to the account once a later row shows that it did.
        """
        account.unconfirmed[row.write_id] = effect
        row_key = self._make_row_key(program)
        transaction = messages.Transaction(
            ((row_key, account.version),), ((row_key, _ENCODER.encode(row)),)
        )
        # The known row may be outdated from here on, whatever the outcome.
        account.is_current = False
        sent_at = self._timers.now()
        outcome = await retries.commit(
            self._store, transaction, deadline, self._timers
        )
        account.read_at = sent_at
        if isinstance(outcome, messages.Committed):
            self._update_row(account, program, row, outcome.version)
            return True
        self._apply_rows(account, program, outcome.rows)
        # An earlier attempt whose response was lost may have written it.
        return account.row is not None and account.row.write_id == row.write_id

    async def _refresh(
        self, account: budget_accounts.Account, program: str, deadline: float
    ) -> None:
        row_key = self._make_row_key(program)
        # A transaction without changes reads the committed row, whereas a
        # plain read may return an older one.
        read = messages.Transaction(((row_key, NEVER_VERSION),))
        sent_at = self._timers.now()
        outcome = await retries.commit(
            self._store, read, deadline, self._timers
        )
        account.read_at = sent_at
        rows = outcome.rows if isinstance(outcome, messages.Conflict) else ()
        self._apply_rows(account, program, rows)

    def _apply_rows(
        self,
        account: budget_accounts.Account,
        program: str,
        rows: tuple[messages.Row, ...],
    ) -> None:
        decoded, version = None, 0
        for row in rows:
            try:
                decoded = _DECODER.decode(row.value)
            except decoding.DecodingError as error:
                raise store_module.StoreOutcomeUnknownError(
                    f'budget row {row.where.key}: {error}'
                ) from error
            version = row.version
        is_newer = version != account.version
        self._update_row(account, program, decoded, version)
        if decoded is not None and is_newer and not account.received:
            taken_over = budget_accounts.TakenOver(
                program, decoded.granted, decoded.budget
            )
            self._on_decision(taken_over)

    def _update_row(
        self,
        account: budget_accounts.Account,
        program: str,
        row: grants.BudgetRow | None,
        version: int,
    ) -> None:
        for effect in account.update_row(self._instance, row, version):
            for change, tokens in (
                (budget_accounts.Change.CREDIT_RECORDED, effect.owed),
                (budget_accounts.Change.GRANT, effect.tokens),
            ):
                if tokens:
                    self._report(account, program, change, tokens, effect.need)

    def _report(
        self,
        account: budget_accounts.Account,
        program: str,
        change: budget_accounts.Change,
        tokens: int,
        need: int = 0,
        reason: str = '',
    ) -> None:
        self._on_decision(
            budget_accounts.Changed(
                program,
                change,
                tokens,
                need,
                reason,
                account.budget if account.row is None else account.row.budget,
                account.granted,
                account.version,
                account.allotment.free,
                account.owed,
                account.creditor,
            )
        )

    def _make_row_key(self, program: str) -> messages.RowKey:
        return messages.RowKey(
            TABLE, partitions.find_partition(program), program
        )
