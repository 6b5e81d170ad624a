"""Token budgets split into grants, so that they hold despite failures.

The store records for each program how much of its budget has been granted to
instances. An instance lets a program generate only granted tokens, and
reserves the maximum of a turn before the turn starts. A grant that is lost
with its instance stays counted, so tokens are never granted twice.

Credit is given without the store and thus not counted by the row at first. The
row names who may have given some: as long as that is not settled, what all may
have given on credit is kept back from the grants.
"""

import typing

import msgspec

from vanillayoke.core import figures

# The share of the budget that one grant takes; a program loses at most this
# share when an instance fails. Most programs use less than half of their
# budget and need two grants.
GRANT_RATIO = 0.25
# The share of the budget that a coordinator may give on credit while the store
# is unavailable; at least one turn. It equals one grant, so that the
# loss with a failed coordinator is the same for grants and credit.
CREDIT_RATIO = 0.25
# Holders named by a row. A program has one coordinator at a time; while many
# instances start, some five of a hundred rank highest in turn.
MAX_HOLDERS = 16
# Values of ``BudgetRow.creditor``: nobody may have given credit that the row
# does not count, and it is not known who may have.
NO_CREDITOR = ''
UNKNOWN_CREDITOR = '?'


class BudgetRow(msgspec.Struct, frozen=True, array_like=True):
    """How much of a program's budget has been granted, in tokens.

    ``write_id`` identifies the write that made this row, so that an instance
    that got no response finds out whether its write took effect. ``time`` is
    the wall time of the write in seconds, for the removal of expired rows.
    ``holders`` lists the instances that were granted tokens, the latest one
    last, each with the id of its last write. They may still hold unused
    tokens, and each recognises its own write after others have written.
    ``creditor`` names the process that may have given credit that ``granted``
    does not count yet, and ``credit_base`` is what was granted when it last
    wrote the row: with its credit it stays within the budget from there.
    """

    budget: figures.Ordinal
    granted: figures.Ordinal
    write_id: str
    time: figures.WallSeconds
    holders: tuple[tuple[str, str], ...] = ()
    creditor: str = UNKNOWN_CREDITOR
    credit_base: figures.Ordinal = 0

    def add_holder(self, instance: str) -> 'BudgetRow':
        """Return the row with an instance as the latest holder."""
        others = [holder for holder in self.holders if holder[0] != instance]
        holders = (*others[1 - MAX_HOLDERS :], (instance, self.write_id))
        return msgspec.structs.replace(self, holders=holders)

    def find_last_write(self, instance: str) -> str | None:
        """Return the id of a holder's last write; ``None`` if not named."""
        return dict(self.holders).get(instance)


class Allotment:
    """Tokens that one instance may still let one program generate."""

    def __init__(self) -> None:
        self.free = 0
        self._reserved: dict[str, int] = {}

    @property
    def reserved(self) -> int:
        """The tokens reserved for turns in progress."""
        return sum(self._reserved.values())

    @property
    def turn_count(self) -> int:
        """The number of turns in progress."""
        return len(self._reserved)

    def add(self, tokens: int) -> None:
        """Add granted tokens."""
        self.free += tokens

    def withdraw_free(self) -> int:
        """Remove all unreserved tokens; return their number."""
        tokens = self.free
        self.free = 0
        return tokens

    def reserve(self, turn: str, tokens: int) -> bool:
        """Reserve the maximum of a turn; return whether it fits.

        Repeated calls for the same turn change nothing.
        """
        if turn in self._reserved:
            return True
        if tokens > self.free:
            return False
        self.free -= tokens
        self._reserved[turn] = tokens
        return True

    def settle(self, turn: str, used: int) -> bool:
        """End a turn that generated ``used`` tokens and free the others.

        Return whether there was a reservation for it.
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
    write_id: str,
    time: float,
    extra: int = 0,
) -> Grant | None:
    """Return a grant of at least ``need`` tokens; ``None`` if too few remain.

    Up to ``extra`` tokens beyond the budget may be granted, see
    ``compute_extra``; a negative number of them is kept back.
    """
    granted = 0 if row is None else row.granted
    if need > budget + extra - granted:
        return None
    remaining = budget + min(0, extra) - granted
    tokens = max(need, min(remaining, int(budget * GRANT_RATIO)))
    granted += tokens
    if row is None:
        return Grant(BudgetRow(budget, granted, write_id, time), tokens)
    row = msgspec.structs.replace(
        row, budget=budget, granted=granted, write_id=write_id, time=time
    )
    return Grant(row, tokens)


def compute_extra(
    row: BudgetRow | None, budget: int, need: int, may_owe_credit: bool
) -> int:
    """Return the tokens that a row may grant beyond the budget.

    A former coordinator may have failed with a grant; programs with a budget
    of one or two turns would then end having used little. So one turn more
    than the budget may be granted, less what may have been given on credit.
    """
    if not may_owe_credit:
        return need
    base = 0 if row is None else row.credit_base
    return need - min(compute_max_credit(budget, need), max(0, budget - base))


def plan_credit(budget: int, granted: int, owed: int, need: int) -> int:
    """Return ``need`` if it may be given on credit, else 0.

    ``granted`` is the number of tokens that may have been granted, and
    ``owed`` the number already given on credit.
    """
    limit = compute_max_credit(budget, need)
    remaining = min(limit - owed, budget - granted - owed)
    return need if 0 < need <= remaining else 0


def compute_max_credit(budget: int, need: int) -> int:
    """Return the most that can have been given on credit and not recorded."""
    return max(need, int(budget * CREDIT_RATIO))


def plan_return(
    row: BudgetRow, tokens: int, write_id: str, time: float
) -> BudgetRow:
    """Return the row with the unused tokens of a grant returned."""
    return msgspec.structs.replace(
        row, granted=row.granted - tokens, write_id=write_id, time=time
    )
