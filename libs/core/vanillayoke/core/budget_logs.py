"""Adds up a program's budget from the log lines of all instances.

Each instance logs every change of its account of a program as
``budget_changed``. Together these lines show which tokens were issued on what
allowance, and whether their sum stayed within the budget and one turn.
"""

import typing

from vanillayoke.core import events
from vanillayoke.core import request_logs


class Issued(typing.NamedTuple):
    """Tokens that a program was allowed to generate, by their source.

    ``granted`` is counted by the row in the store, ``credit`` was given
    without it; what was returned or repaid unused is subtracted. ``beyond``
    is the part of the grants that exceeds the budget.
    """

    granted: int
    credit: int
    beyond: int
    budget: int
    most: int

    @property
    def total(self) -> int:
        """All tokens that may have been generated."""
        return self.granted + self.credit

    @property
    def limit(self) -> int:
        """The budget and the maximum of one turn."""
        return self.budget + self.most


def select_changes(
    lines: typing.Iterable[request_logs.LogLine], program: str
) -> list[request_logs.LogLine]:
    """Return the lines of a program's accounts in the order of their times."""
    name = events.BUDGET_CHANGED.name
    changes = [
        line
        for line in lines
        if line.name == name and line.fields.get('program') == program
    ]
    return sorted(changes, key=lambda line: line.time)


def add_up(changes: typing.Iterable[request_logs.LogLine]) -> Issued:
    """Add up the changes of one program's accounts."""
    granted = credit = beyond = budget = most = 0
    for line in changes:
        tokens = _get_count(line, 'tokens')
        budget = max(budget, _get_count(line, 'budget'))
        most = max(most, _get_count(line, 'need'))
        match line.fields.get('change'):
            case 'grant':
                granted += tokens
                excess = _get_count(line, 'granted') - _get_count(
                    line, 'budget'
                )
                beyond += min(tokens, max(0, excess))
            case 'return':
                granted -= tokens
            case 'return_rejected':
                granted += tokens
            case 'credit':
                credit += tokens
            case 'credit_repaid':
                credit -= tokens
    return Issued(granted, credit, beyond, budget, most)


def format_account(
    changes: typing.Sequence[request_logs.LogLine],
) -> list[str]:
    """Format the changes and their sum as text."""
    issued = add_up(changes)
    verdict = 'within' if issued.total <= issued.limit else 'EXCEEDS'
    return [
        *request_logs.format_lines(changes),
        f'granted {issued.granted}, {issued.beyond} of them beyond the budget',
        f'given on credit {issued.credit}',
        f'sum {issued.total}: {verdict} the budget of {issued.budget} and one '
        f'turn of {issued.most}',
    ]


def _get_count(line: request_logs.LogLine, name: str) -> int:
    count = line.fields.get(name)
    return count if isinstance(count, int) else 0
