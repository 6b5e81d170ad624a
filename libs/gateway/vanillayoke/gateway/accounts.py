"""What one instance has and knows of one program's budget."""

import asyncio
import typing

from vanillayoke.programs import grants


class Refused(typing.NamedTuple):
    """What a turn was refused by: the row, and what of it is held here.

    All but ``turns``, the number of turns under way, are tokens; ``age`` is
    that of the row, in seconds.
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
    """A program comes to this instance with tokens granted to others."""

    program: str
    granted: int
    budget: int


Decision = Refused | TakenOver


class Written(typing.NamedTuple):
    """What a row adds to an account once it is known to be in the store."""

    tokens: int
    owed: int


NOTHING = Written(0, 0)


class Account:
    """One program's budget as far as this instance has part in it."""

    def __init__(self) -> None:
        self.purse = grants.Purse()
        self.lock = asyncio.Lock()
        self.row: grants.BudgetRow | None = None
        self.version = 0
        self.is_fresh = False
        self.is_spent = False
        self.used_at = 0.0
        # Given on credit and not yet in the row, and the program's budget.
        self.owed = 0
        self.budget = 0
        # What this instance got of the budget, from the store or from other
        # instances, and what it counts as given by homes before it.
        self.received = 0
        self.charged = 0
        # Rows of this instance, by writer, that may be in the store or not.
        self.doubted: dict[str, Written] = {}
        # Set when the next turn ends, and then replaced.
        self.settlement = asyncio.Event()

    @property
    def known(self) -> int:
        """The tokens granted by the row, as far as it is known."""
        return 0 if self.row is None else self.row.granted

    @property
    def known_at_most(self) -> int:
        """The tokens that the row may have granted by now.

        Rows in doubt expect the same version, so one of them at the most has
        taken effect.
        """
        doubted = (added.tokens for added in self.doubted.values())
        return self.known + max(doubted, default=0)

    def claim(self, writer: str) -> None:
        """Take what one of this instance's rows adds, once."""
        added = self.doubted.pop(writer, NOTHING)
        self.owed -= added.owed
        self.received += added.tokens
        self.purse.add(added.tokens)

    def take_row(
        self, instance: str, row: grants.BudgetRow | None, version: int
    ) -> None:
        """Take over what the store has; a row in doubt is so no longer.

        What was written for another version than this one can't take effect
        any more.
        """
        is_newer = version != self.version
        self.row = row
        self.version = version
        self.is_fresh = True
        if row is None or not is_newer:
            return
        self.claim(row.writer)
        for holder, writer in row.holders:
            if holder == instance:
                self.claim(writer)
        self.doubted.clear()
