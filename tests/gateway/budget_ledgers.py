"""The accounts of all instances of a site, as their logs tell them."""

import collections

from vanillayoke.core import budget_logs
from vanillayoke.core import events
from vanillayoke.core import request_logs


class BudgetLedgers:
    """Follows the changes of all accounts in the order of their times."""

    def __init__(self, site) -> None:
        self._site = site
        self._changes = collections.defaultdict(list)
        for name in site.instances:
            self.follow(name)

    @property
    def programs(self) -> list[str]:
        """The programs with changes."""
        return list(self._changes)

    def follow(self, instance: str) -> None:
        """Record the changes that an instance logs from now on."""

        def record(event, fields):
            if event is events.BUDGET_CHANGED:
                line = request_logs.LogLine(
                    self._site.timers.now(), instance, event.name, dict(fields)
                )
                self._changes[fields['program']].append(line)

        self._site.loggers[instance].subscribe(record)

    def format_changes(self, program: str) -> str:
        """Return the changes of a program's accounts as text."""
        return '\n'.join(budget_logs.format_account(self._changes[program]))

    def find_peak(self, program: str) -> budget_logs.Issued:
        """Return the sums at the time at which most tokens were issued."""
        changes = self._changes[program]
        return max(
            (
                budget_logs.add_up(changes[: count + 1])
                for count in range(len(changes))
            ),
            key=lambda issued: issued.total,
        )
