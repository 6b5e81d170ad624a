"""The budget ledger of a program and its sub-agents.

An amount is reserved under a key before work is dispatched and settled under
the same key. Both are idempotent, so repeated records have no effect.
"""

import dataclasses

from vanillayoke.programs import records

RESOURCES = ('tokens', 'calls', 'seconds', 'money')
_MILLION = 1_000_000


def make_key(program: str, number: int) -> str:
    """Return the ledger key of a call, unique in the program's tree."""
    return f'{program}/{number}'


def add_spend(left: records.Spend, right: records.Spend) -> records.Spend:
    """Add two amounts."""
    return records.Spend(
        tokens=left.tokens + right.tokens,
        calls=left.calls + right.calls,
        seconds=left.seconds + right.seconds,
        money=left.money + right.money,
    )


def reserve_model_call(
    prompt_tokens: int,
    max_tokens: int,
    seconds: float,
    money_per_million_tokens: int,
) -> records.Spend:
    """Return the maximum that a model call can use.

    ``prompt_tokens`` is an estimate; the engine enforces ``max_tokens``.
    Money is rounded up.
    """
    tokens = prompt_tokens + max_tokens
    return records.Spend(
        tokens=tokens,
        calls=1,
        seconds=seconds,
        money=-(-tokens * money_per_million_tokens // _MILLION),
    )


@dataclasses.dataclass(slots=True)
class Ledger:
    """The committed and reserved amounts of a budget.

    ``reserved`` is summed from the open reservations each time: a running
    total would accumulate floating-point errors.
    """

    budget: records.Budget
    committed: records.Spend = records.Spend()
    open: dict[str, records.Spend] = dataclasses.field(default_factory=dict)
    settled: set[str] = dataclasses.field(default_factory=set)

    @property
    def reserved(self) -> records.Spend:
        """Return the sum of all open reservations."""
        total = records.Spend()
        for amount in self.open.values():
            total = add_spend(total, amount)
        return total

    def remaining(self) -> records.Spend:
        """Return what may still be reserved; negative when overspent."""
        used = add_spend(self.committed, self.reserved)
        return records.Spend(
            tokens=self.budget.tokens - used.tokens,
            calls=self.budget.calls - used.calls,
            seconds=self.budget.seconds - used.seconds,
            money=self.budget.money - used.money,
        )

    def find_shortage(self, amount: records.Spend) -> str | None:
        """Return the first resource that does not cover an amount.

        An overspent resource does not even cover an amount of zero, so that
        a call that used more than it reserved stops the program.
        """
        remaining = self.remaining()
        for name in RESOURCES:
            if getattr(amount, name) > getattr(remaining, name):
                return name
        return None

    def reserve(self, key: str, amount: records.Spend) -> bool:
        """Reserve an amount; return whether the key was new."""
        if key in self.open or key in self.settled:
            return False
        self.open[key] = amount
        return True

    def settle(self, key: str, spent: records.Spend) -> bool:
        """Replace a reservation by the spent amount.

        Return whether the key had not been settled before. The amount counts
        even if there was no reservation.
        """
        if key in self.settled:
            return False
        self.open.pop(key, None)
        self.settled.add(key)
        self.committed = add_spend(self.committed, spent)
        return True
