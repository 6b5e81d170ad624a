"""The budget ledger of a program and its sub-agents.

An amount is reserved under a key before work is dispatched and settled once
under the same key. A repeated record finds its key used and changes nothing.
"""

import dataclasses

from vanillayoke.programs import records

RESOURCES = ('tokens', 'calls', 'seconds', 'money')
MILLION = 1_000_000


def make_key(program: str, number: int) -> str:
    """Return the ledger key of a program's call, unique in its tree."""
    return f'{program}/{number}'


def add_spend(one: records.Spend, other: records.Spend) -> records.Spend:
    """Add two amounts."""
    return records.Spend(
        tokens=one.tokens + other.tokens,
        calls=one.calls + other.calls,
        seconds=one.seconds + other.seconds,
        money=one.money + other.money,
    )


def reserve_model_call(
    prompt_tokens: int,
    max_tokens: int,
    seconds: float,
    money_per_million_tokens: int,
) -> records.Spend:
    """Return the most that a model call can use.

    ``prompt_tokens`` is an estimate; ``max_tokens`` is given to the engine
    and so caps the answer. Money is rounded up.
    """
    tokens = prompt_tokens + max_tokens
    return records.Spend(
        tokens=tokens,
        calls=1,
        seconds=seconds,
        money=-(-tokens * money_per_million_tokens // MILLION),
    )


@dataclasses.dataclass(slots=True)
class Ledger:
    """What a budget has committed and what is still reserved.

    ``reserved`` is summed from the open reservations each time: adding and
    subtracting floats would leave a rest behind that grows with each call.
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
        """Return what may still be reserved; below zero when overspent."""
        used = add_spend(self.committed, self.reserved)
        return records.Spend(
            tokens=self.budget.tokens - used.tokens,
            calls=self.budget.calls - used.calls,
            seconds=self.budget.seconds - used.seconds,
            money=self.budget.money - used.money,
        )

    def find_shortage(self, amount: records.Spend) -> str | None:
        """Return the first resource that does not cover an amount.

        A resource that is overspent refuses even an amount of zero of it,
        so that a call which used more than it reserved stops the program.
        """
        remaining = self.remaining()
        for name in RESOURCES:
            if getattr(amount, name) > getattr(remaining, name):
                return name
        return None

    def reserve(self, key: str, amount: records.Spend) -> bool:
        """Hold an amount; return whether the key was new."""
        if key in self.open or key in self.settled:
            return False
        self.open[key] = amount
        return True

    def settle(self, key: str, spent: records.Spend) -> bool:
        """Replace a reservation by a spend; return whether it was open.

        A spend whose reservation is not known counts all the same.
        """
        if key in self.settled:
            return False
        self.open.pop(key, None)
        self.settled.add(key)
        self.committed = add_spend(self.committed, spent)
        return True
