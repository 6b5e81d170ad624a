"""A stand-in service in memory that counts what it executes."""

import asyncio
import json

import msgspec

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.targets import ports


class ServiceFaults(msgspec.Struct, kw_only=True):
    """Faults of a stand-in service; setting new ones replaces the old.

    All but ``leaving`` hit the next ``calls`` calls: ``hang`` never
    answers, ``die`` breaks the connection ``before`` or ``after`` the
    effect, and the answer comes ``late`` seconds late.
    """

    calls: int = 1
    hang: bool = False
    die: str = ''
    late: float = 0.0
    refuse: bool = False
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
        self.slots = slots
        self.has_query = has_query
        self.faults = ServiceFaults()
        self.executions: dict[str, int] = {}
        self.answers: dict[str, str] = {}
        self._inside = 0
        self._free = asyncio.Semaphore(slots)

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replace the faults."""
        self.faults = faults

    async def execute(
        self, request: ports.ServiceRequest
    ) -> ports.ServiceAnswer | None | failures.Failure:
        """Run a call; ``None`` stands for a broken connection."""
        faults = self.faults if self.faults.calls > 0 else ServiceFaults()
        self.faults.calls -= 1
        if faults.refuse or self.faults.leaving:
            kind = failures.Kind.TARGET_REFUSED
            return failures.Failure(kind, 'the service refused')
        if faults.die == 'before':
            return None
        self._inside += 1
        try:
            async with self._free:
                await self._carry_out(request, faults)
        finally:
            self._inside -= 1
        if faults.die == 'after':
            return None
        return ports.ServiceAnswer(self.answers[request.key])

    async def _carry_out(self, request, faults) -> None:
        count = self.executions.get(request.key, 0)
        self.executions[request.key] = count + 1
        body = {'path': request.path, 'echo': request.arguments}
        self.answers[request.key] = json.dumps(body)
        if faults.hang:
            await asyncio.Event().wait()
        await self.clock.sleep(faults.late)

    async def call(self, request):
        unknown = failures.Kind.OUTCOME_UNKNOWN
        try:
            async with asyncio.timeout(request.timeout):
                result = await self.execute(request)
        except TimeoutError:
            return failures.Failure(unknown, 'silent')
        return result or failures.Failure(unknown, 'broken')

    async def query(self, key):
        if not self.has_query:
            kind = failures.Kind.OUTCOME_UNKNOWN
            return failures.Failure(kind, 'no query')
        known = key in self.answers
        return ports.ServiceAnswer(self.answers[key]) if known else None

    async def report_load(self):
        return ports.LoadReport(
            self.name,
            self.clock.now(),
            min(self._inside, self.slots),
            max(0, self._inside - self.slots),
            0,
            0,
            (),
            'service',
            self.faults.leaving,
        )
