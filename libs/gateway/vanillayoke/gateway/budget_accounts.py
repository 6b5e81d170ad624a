"""One instance's account of a program's budget."""

import asyncio
import typing

from vanillayoke.programs import grants


class Refused(typing.NamedTuple):
    """A turn refused for lack of budget, with the state of the account.

    ``turns`` is the number of turns in progress and ``age`` the age of the
    budget row in seconds; all other numbers are tokens.
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
    charged: int
    age: float


class TakenOver(typing.NamedTuple):
    """A program new to this instance has tokens granted to others."""

    program: str
    granted: int
    budget: int


Decision = Refused | TakenOver


class WriteEffect(typing.NamedTuple):
    """Change to an account once its write is known to have taken effect."""

    tokens: int
    owed: int


NO_EFFECT = WriteEffect(0, 0)


class Account:
    """This instance's part in one program's budget."""

    def __init__(self) -> None:
        self.allotment = grants.Allotment()
        self.lock = asyncio.Lock()
        self.row: grants.BudgetRow | None = None
        self.version = 0
        self.is_current = False
        self.opened_at = 0.0
        self.used_at = 0.0
        # Tokens given on credit or charged for it, not yet recorded in the
        # row.
        self.owed = 0
        self.budget = 0
        # Tokens received from the store and from other instances.
        self.received = 0
        # Tokens charged for credit that former coordinators may have given.
        self.charged = 0
        # Writes of this instance with an unknown outcome, by write id.
        self.unconfirmed: dict[str, WriteEffect] = {}
        # Set when the next turn ends, and then replaced by a new event.
        self.turn_ended = asyncio.Event()

    @property
    def granted(self) -> int:
        """The tokens granted according to the last known row."""
        return 0 if self.row is None else self.row.granted

    @property
    def max_granted(self) -> int:
        """The upper bound of the tokens that the row may have granted.

        Unconfirmed writes expect the same version, so at most one of them
        has taken effect.
        """
        unconfirmed = (effect.tokens for effect in self.unconfirmed.values())
        return self.granted + max(unconfirmed, default=0)

    def confirm(self, write_id: str) -> None:
        """Apply the effect of one of this instance's writes, once."""
        effect = self.unconfirmed.pop(write_id, NO_EFFECT)
        self.owed -= effect.owed
        self.received += effect.tokens
        self.allotment.add(effect.tokens)

    def update_row(
        self, instance: str, row: grants.BudgetRow | None, version: int
    ) -> None:
        """Update the account from the row in the store.

        A new version settles all unconfirmed writes: those that have not
        taken effect by then can't do so any more. What a row has granted stays
        granted if the row was removed.
        """
        is_newer = version != self.version
        if row is not None:
            self.row = row
        self.version = version
        self.is_current = True
        if row is None or not is_newer:
            return
        self.confirm(row.write_id)
        for holder, write_id in row.holders:
            if holder == instance:
                self.confirm(write_id)
        self.unconfirmed.clear()
