"""Token budgets split into grants, so that they hold over any failure.

The store holds for each program how much of its budget has been granted to
instances. An instance lets a program generate only what it was granted, and
reserves the most of a turn before the turn starts. A grant that dies with
its instance stays counted: tokens are never given twice.
"""

import typing

import msgspec

# The share of a whole budget that one grant takes. What an instance was
# granted dies with it, so this is what a program loses at the most; most
# programs use less than half of their budget and get by with two grants.
GRANT_SHARE = 0.25
# The share of a whole budget that a home may let a program generate while
# the store can't be asked, at least one turn: as much as one grant, so that
# what dies with a home stays of one size.
CREDIT_SHARE = 0.25
# How many holders a row names. A program has one home at a time; while many
# instances start, some five of a hundred are its best one in turn.
MOST_HOLDERS = 16


class BudgetRow(msgspec.Struct, frozen=True, array_like=True):
    """How much of a program's budget has been granted, in tokens.

    ``writer`` names the write that made this row, so that a writer whose
    answer was lost finds out whether its write took effect. ``time`` is the
    wall time of the write in seconds, for sweeping old rows away.
    ``holders`` are the instances that were granted tokens, the last one at
    the end, each with the writer of its last row: what they do not need any
    more may still lie there, and one whose answer was lost finds its row out
    also under that of another.
    """

    budget: int
    granted: int
    writer: str
    time: float
    holders: tuple[tuple[str, str], ...] = ()

    def add_holder(self, instance: str) -> 'BudgetRow':
        """Return the row with an instance as the last holder."""
        others = [one for one in self.holders if one[0] != instance]
        holders = (*others[1 - MOST_HOLDERS :], (instance, self.writer))
        return msgspec.structs.replace(self, holders=holders)


class Purse:
    """What one instance may still let one program generate."""

    def __init__(self) -> None:
        self.free = 0
        self._reserved: dict[str, int] = {}

    @property
    def reserved(self) -> int:
        """The tokens reserved for turns under way."""
        return sum(self._reserved.values())

    @property
    def turns(self) -> int:
        """The number of turns under way."""
        return len(self._reserved)

    def add(self, tokens: int) -> None:
        """Take over a grant."""
        self.free += tokens

    def take_free(self) -> int:
        """Give up all that is not reserved, to return it."""
        tokens = self.free
        self.free = 0
        return tokens

    def reserve(self, turn: str, tokens: int) -> bool:
        """Reserve the most that a turn may generate; say if it fits.

        Asking again for the same turn changes nothing.
        """
        if turn in self._reserved:
            return True
        if tokens > self.free:
            return False
        self.free -= tokens
        self._reserved[turn] = tokens
        return True

    def settle(self, turn: str, used: int) -> bool:
        """End a turn that generated ``used`` tokens; the rest is free.

        Return whether anything was reserved for it.
        """
        tokens = self._reserved.pop(turn, None)
        if tokens is None:
            return False
        self.free += max(0, tokens - used)
        return True


class Grant(typing.NamedTuple):
    """A row to write and the tokens that it grants."""

    row: BudgetRow
    tokens: int


def plan_grant(
    row: BudgetRow | None,
    budget: int,
    need: int,
    writer: str,
    time: float,
    extra: int = 0,
) -> Grant | None:
    """Return the grant that covers ``need``; ``None`` if it does not fit.

    ``extra`` tokens beyond the budget may be granted where a former home may
    have died with a grant. Small budgets hold one or two turns: what is lost
    with a home would end their programs though they used little.
    """
    granted = 0 if row is None else row.granted
    left = budget - granted
    if need > left + extra:
        return None
    tokens = max(need, min(left, int(budget * GRANT_SHARE)))
    holders = () if row is None else row.holders
    granted += tokens
    return Grant(BudgetRow(budget, granted, writer, time, holders), tokens)


def plan_credit(budget: int, known: int, owed: int, need: int) -> int:
    """Return the tokens to give on credit for ``need`` more; 0 for none.

    ``known`` tokens of the budget are granted as far as the home knows, and
    ``owed`` ones were given on credit before.
    """
    limit = max(need, int(budget * CREDIT_SHARE))
    left = min(limit - owed, budget - known - owed)
    return need if 0 < need <= left else 0


def find_charge(budget: int, most: int) -> int:
    """Return what a new home counts as granted, for its predecessor.

    The predecessor may have died with tokens that it gave on credit; this is
    the most that it can have given.
    """
    return max(most, int(budget * CREDIT_SHARE))


def plan_return(
    row: BudgetRow, tokens: int, writer: str, time: float
) -> BudgetRow:
    """Return the row that takes an unused grant back."""
    granted = row.granted - tokens
    return BudgetRow(row.budget, granted, writer, time, row.holders)
