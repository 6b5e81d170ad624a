"""A stand-in service in memory that counts what it executes."""

import asyncio
import json

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.targets import ports

_BROKEN = failures.Failure(failures.Kind.OUTCOME_UNKNOWN, 'broken')
_REFUSED = failures.Failure(failures.Kind.TARGET_REFUSED, 'refused')


class ServiceFaults(msgspec.Struct, kw_only=True):
    """Faults of a stand-in service; setting new ones replaces the old.

    The next ``calls`` calls meet ``call``: ``refuse``, ``hang``, the
    connection breaks (``die_before`` or ``die_after`` the effect); answers
    come ``late`` seconds late.
    """

    calls: int = 1
    call: str = ''
    late: float = 0.0
    leaving: bool = False


class ServiceMemory(ports.Service):
    """Echoes arguments; executes each attempt, so that repeats show."""

    def __init__(
        self,
        name: str,
        clock: timers.TimerService,
        slots: int = 16,
        has_query: bool = False,
    ) -> None:
        self.name = name
        self.clock = clock
        self.has_query = has_query
        self.faults = ServiceFaults()
        self.executions: dict[str, int] = {}
        self.answers: dict[str, str] = {}
        self.refused: set[str] = set()
        self._slots = slots
        self._inside = 0
        self._free = asyncio.Semaphore(slots)

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replace the faults."""
        self.faults = faults

    async def execute(self, request):
        """Run a call; a broken connection is ``OUTCOME_UNKNOWN``."""
        self.faults.calls -= 1
        faults = self.faults if self.faults.calls >= 0 else ServiceFaults()
        closed = self.faults.leaving or request.key in self.refused
        if faults.call == 'refuse' or closed:
            return _REFUSED
        if faults.call == 'die_before':
            return _BROKEN
        self._inside += 1
        try:
            async with self._free:
                return await self._carry_out(request, faults)
        finally:
            self._inside -= 1

    async def _carry_out(self, request, faults):
        count = self.executions.get(request.key, 0)
        self.executions[request.key] = count + 1
        body = {'path': request.path, 'echo': request.arguments}
        answer = self.answers[request.key] = json.dumps(body)
        if faults.call == 'hang':
            await asyncio.Event().wait()
        await self.clock.sleep(faults.late)
        died = faults.call == 'die_after'
        return _BROKEN if died else ports.ServiceAnswer(answer)

    async def call(self, request):
        try:
            async with asyncio.timeout(request.timeout):
                return await self.execute(request)
        except TimeoutError:
            return _BROKEN._replace(reason='silent')

    async def query(self, key):
        if not self.has_query:
            return _BROKEN._replace(reason='no query')
        if key in self.answers:
            return ports.ServiceAnswer(self.answers[key])
        # Having said "never ran", it must not run a request still under way.
        self.refused.add(key)

    async def report_load(self):
        running = min(self._inside, self._slots)
        load = (running, self._inside - running, 0, 0, (), 'service')
        head = (self.name, self.clock.now())
        return ports.LoadReport(*head, *load, self.faults.leaving)
