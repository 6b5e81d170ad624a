"""One instance's account of a program's budget."""

import asyncio
import enum
import typing

import msgspec

from vanillayoke.programs import grants


class Refused(typing.NamedTuple):
    """A turn refused for lack of budget, with the state of the account.

    ``turns`` is the number of turns in progress and ``age`` the age of the
    budget row in seconds; all other numbers are tokens. ``creditor`` is that
    of the row.
    """

    program: str
    turn: str
    budget: int
    need: int
    granted: int
    received: int
    free: int
    reserved: int
    turns: int
    owed: int
    creditor: str
    age: float


class TakenOver(typing.NamedTuple):
    """A program new to this instance has tokens granted to others."""

    program: str
    granted: int
    budget: int


class Change(enum.StrEnum):
    """Why the tokens of an account changed."""

    GRANT = 'grant'
    CREDIT = 'credit'
    CREDIT_RECORDED = 'credit_recorded'
    CREDIT_REPAID = 'credit_repaid'
    RECEIVE = 'receive'
    SEND = 'send'
    RETURN = 'return'
    # The row was written by another instance instead.
    RETURN_REJECTED = 'return_rejected'
    # The reservation of a turn that generated nothing was freed.
    UNUSED = 'unused'


class Changed(typing.NamedTuple):
    """A change of an account, with its state behind it.

    ``need`` is the maximum of the turn that the change is for, 0 if it is for
    none, ``reason`` the turn or the other instance. ``version`` and
    ``creditor`` are those of the last known row.
    """

    program: str
    change: Change
    tokens: int
    need: int
    reason: str
    budget: int
    granted: int
    version: int
    free: int
    owed: int
    creditor: str


Decision = Refused | TakenOver | Changed


class WriteEffect(typing.NamedTuple):
    """Change to an account once its write is known to have taken effect.

    ``need`` is the maximum of the turn that the tokens were requested for.
    """

    tokens: int
    owed: int
    need: int = 0


NO_EFFECT = WriteEffect(0, 0)


class Account:
    """This instance's part in one program's budget."""

    def __init__(self) -> None:
        self.allotment = grants.Allotment()
        self.lock = asyncio.Lock()
        self.row: grants.BudgetRow | None = None
        self.version = 0
        self.is_current = False
        # When the store was asked for what is known of the row.
        self.read_at = float('-inf')
        self.opened_at = 0.0
        self.used_at = 0.0
        # Tokens given on credit, not yet recorded in the row.
        self.owed = 0
        self.budget = 0
        # Tokens received from the store and from other instances.
        self.received = 0
        # Whether this instance has told others, by a row that it wrote, that
        # it gives the program no more credit.
        self.has_renounced_credit = False
        # Values of a row's ``creditor`` of which this instance knows that all
        # credit is recorded and no more follows.
        self.settled_creditors: set[str] = set()
        # Writes of this instance with an unknown outcome, by write id.
        self.unconfirmed: dict[str, WriteEffect] = {}
        # Set when the next turn ends, and then replaced by a new event.
        self.turn_ended = asyncio.Event()

    @property
    def granted(self) -> int:
        """The tokens granted according to the last known row."""
        return 0 if self.row is None else self.row.granted

    @property
    def creditor(self) -> str:
        """Who may have given credit according to the last known row."""
        return (
            grants.UNKNOWN_CREDITOR if self.row is None else self.row.creditor
        )

    @property
    def credit_base(self) -> int:
        """The ``credit_base`` of the last known row."""
        return 0 if self.row is None else self.row.credit_base

    def is_current_since(self, time: float) -> bool:
        """Return whether the row is known as it was at a time or later."""
        return self.is_current and self.read_at >= time

    def may_owe_credit(self, allow_credit: bool) -> bool:
        """Return whether others may have given credit that no row counts.

        ``allow_credit`` says whether the program's turns may get credit.
        """
        creditor = self.creditor
        if creditor == grants.NO_CREDITOR:
            return False
        if creditor in self.settled_creditors:
            return False
        return allow_credit or creditor != grants.UNKNOWN_CREDITOR

    def make_row(
        self, budget: int, owed: int, write_id: str, time: float
    ) -> grants.BudgetRow:
        """Return the last known row with ``owed`` tokens more granted."""
        row = self.row or grants.BudgetRow(budget, 0, write_id, time)
        return msgspec.structs.replace(
            row,
            budget=budget,
            granted=row.granted + owed,
            write_id=write_id,
            time=time,
        )

    @property
    def max_granted(self) -> int:
        """The upper bound of the tokens that the row may have granted.

        Unconfirmed writes expect the same version, so at most one of them
        has taken effect.
        """
        unconfirmed = (effect.tokens for effect in self.unconfirmed.values())
        return self.granted + max(unconfirmed, default=0)

    def confirm(self, write_id: str) -> WriteEffect:
        """Apply the effect of one of this instance's writes, once."""
        effect = self.unconfirmed.pop(write_id, NO_EFFECT)
        self.owed -= effect.owed
        self.received += effect.tokens
        self.allotment.add(effect.tokens)
        return effect

    def update_row(
        self, instance: str, row: grants.BudgetRow | None, version: int
    ) -> list[WriteEffect]:
        """Update the account from the row in the store.

        A new version settles all unconfirmed writes: those that have not
        taken effect by then can't do so any more. What a row has granted stays
        granted if the row was removed. Return the effects that were applied.
        """
        is_newer = version != self.version
        if row is not None:
            self.row = row
        self.version = version
        self.is_current = True
        if row is None or not is_newer:
            return []
        own_writes = [row.write_id]
        own_writes += [
            write_id for holder, write_id in row.holders if holder == instance
        ]
        effects = [self.confirm(write_id) for write_id in own_writes]
        self.unconfirmed.clear()
        return [effect for effect in effects if effect != NO_EFFECT]
